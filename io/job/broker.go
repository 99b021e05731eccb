package job

import (
	"bytes"
	"context"
	"time"

	"mothcart/core/job"
)

// Times and limits of the brokers.
const (
	// summaryInterval is the longest time between two summaries of a home to a broker.
	summaryInterval = 5 * time.Second
	// summaryTTL is the time after which a broker drops the last summary of a home that sends no more.
	summaryTTL = 3 * summaryInterval
	// candidateCount is the largest number of jobs in one answer of a broker.
	candidateCount = 8
)

// summary reports to a model's broker the jobs of a home that have open or held chunks.
type summary struct {
	Model      string          `msgpack:"m"`
	Candidates []job.Candidate `msgpack:"c"`
}

type candidatesRequest struct {
	Model string `msgpack:"m"`
	// Prefer is the job of which the asking VM last claimed a chunk.
	Prefer string `msgpack:"p"`
}

type candidatesResponse struct {
	Candidates []job.Candidate `msgpack:"c"`
}

type empty struct{}

// receivedSummary is the last summary received from one home for one model.
type receivedSummary struct {
	candidates []job.Candidate
	at         time.Time
}

// brokerState holds the summaries that this VM has received as a broker, by model and home.
type brokerState map[string]map[string]receivedSummary

// sentSummary is the last summary that this VM sent for a model.
type sentSummary struct {
	to   string
	body []byte
	at   time.Time
}

func (j *Jobs) serveSummary(_ context.Context, from string, msg summary) (empty, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	homes := j.broker[msg.Model]
	if homes == nil {
		homes = map[string]receivedSummary{}
		j.broker[msg.Model] = homes
	}
	homes[from] = receivedSummary{candidates: msg.Candidates, at: time.Now()}
	if len(msg.Candidates) == 0 {
		delete(homes, from)
	}
	return empty{}, nil
}

func (j *Jobs) serveCandidates(_ context.Context, _ string, req candidatesRequest) (candidatesResponse, error) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []job.Candidate
	var received []*job.Candidate
	for home, s := range j.broker[req.Model] {
		if now.Sub(s.at) > summaryTTL {
			delete(j.broker[req.Model], home)
			continue
		}
		for i := range s.candidates {
			all = append(all, s.candidates[i])
			received = append(received, &s.candidates[i])
		}
	}
	order := job.Choose(all, req.Prefer)
	var resp candidatesResponse
	for _, i := range order[:min(len(order), candidateCount)] {
		resp.Candidates = append(resp.Candidates, all[i])
	}
	if len(order) > 0 {
		// Until the home's next summary, assume that a chunk of the first candidate gets claimed.
		received[order[0]].Open--
		received[order[0]].Held++
	}
	return resp, nil
}

// sendSummaries sends the brokers summaries of the jobs that this VM is the home of, if a summary or the
// model's broker has changed or the last one is at least summaryInterval old.
func (j *Jobs) sendSummaries(now time.Time) {
	type message struct {
		to  string
		msg summary
	}
	var messages []message
	j.mu.Lock()
	for model, candidates := range j.homes.candidates(now, j.opts) {
		msg := summary{Model: model, Candidates: candidates}
		body, err := encode(msg)
		if err != nil {
			continue
		}
		to := j.opts.Owner(brokerRole(model))
		last := j.homes.sent[model]
		if last.to == to && bytes.Equal(last.body, body) && now.Sub(last.at) < summaryInterval {
			continue
		}
		j.homes.sent[model] = sentSummary{to: to, body: body, at: now}
		if len(candidates) == 0 {
			delete(j.homes.sent, model)
		}
		messages = append(messages, message{to: to, msg: msg})
	}
	j.mu.Unlock()
	for _, m := range messages {
		notifyPeer(j.bus, m.to, methodSummary, m.msg)
	}
}
