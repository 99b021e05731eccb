package job

import (
	"bytes"
	"context"
	"time"

	"mothcart/core/job"
)

// Times of the brokers.
const (
	// summaryEvery is the longest time between two summaries of a home to a broker.
	summaryEvery = 5 * time.Second
	// summaryLife is the time after which a broker forgets a home that is silent.
	summaryLife = 3 * summaryEvery
	// candidateCount is the number of jobs that a broker names at once.
	candidateCount = 8
)

// summary tells a model's broker which jobs of a home have chunks to give.
type summary struct {
	Model      string          `msgpack:"m"`
	Candidates []job.Candidate `msgpack:"c"`
}

type candidatesRequest struct {
	Model string `msgpack:"m"`
	// Prefer is the job whose chunk the asking VM ran last.
	Prefer string `msgpack:"p"`
}

type candidatesResponse struct {
	Candidates []job.Candidate `msgpack:"c"`
}

type nothing struct{}

// heardSummary is the last summary of one home for one model.
type heardSummary struct {
	candidates []job.Candidate
	at         time.Time
}

// brokerState is what this VM has heard as the broker of models: by model and home.
type brokerState map[string]map[string]heardSummary

// sentSummary is the last summary that this VM sent for a model.
type sentSummary struct {
	to   string
	body []byte
	at   time.Time
}

func (j *Jobs) serveSummary(_ context.Context, from string, msg summary) (nothing, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	homes := j.broker[msg.Model]
	if homes == nil {
		homes = map[string]heardSummary{}
		j.broker[msg.Model] = homes
	}
	homes[from] = heardSummary{candidates: msg.Candidates, at: time.Now()}
	if len(msg.Candidates) == 0 {
		delete(homes, from)
	}
	return nothing{}, nil
}

func (j *Jobs) serveCandidates(_ context.Context, _ string, req candidatesRequest) (candidatesResponse, error) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []job.Candidate
	var in []*job.Candidate
	for home, s := range j.broker[req.Model] {
		if now.Sub(s.at) > summaryLife {
			delete(j.broker[req.Model], home)
			continue
		}
		for i := range s.candidates {
			all = append(all, s.candidates[i])
			in = append(in, &s.candidates[i])
		}
	}
	order := job.Choose(all, req.Prefer)
	var resp candidatesResponse
	for _, i := range order[:min(len(order), candidateCount)] {
		resp.Candidates = append(resp.Candidates, all[i])
	}
	if len(order) > 0 {
		// Until the home's next summary, count on the first chunk being taken.
		in[order[0]].Open--
		in[order[0]].Held++
	}
	return resp, nil
}

// sendSummaries tells the brokers about this VM's jobs, when something has changed or the last word
// is some seconds old.
func (j *Jobs) sendSummaries(now time.Time) {
	type message struct {
		to  string
		msg summary
	}
	var out []message
	j.mu.Lock()
	for model, candidates := range j.homes.candidates(now, j.opts) {
		msg := summary{Model: model, Candidates: candidates}
		body, err := encode(msg)
		if err != nil {
			continue
		}
		to := j.opts.Owner(brokerRole(model))
		last := j.homes.sent[model]
		if last.to == to && bytes.Equal(last.body, body) && now.Sub(last.at) < summaryEvery {
			continue
		}
		j.homes.sent[model] = sentSummary{to: to, body: body, at: now}
		if len(candidates) == 0 {
			delete(j.homes.sent, model)
		}
		out = append(out, message{to: to, msg: msg})
	}
	j.mu.Unlock()
	for _, m := range out {
		tell(j.bus, m.to, methodSummary, m.msg)
	}
}
