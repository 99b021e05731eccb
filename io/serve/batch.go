package serve

import (
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"mothcart/core/config"
	"mothcart/io/caller"
	"mothcart/io/caller/batches"
	"mothcart/io/job"
	"mothcart/io/store"
	"mothcart/io/upstream"
)

// startJobs starts the component that runs batch jobs on this VM.
func (s *Server) startJobs(c store.Client) error {
	cfg := s.opts.Settings
	jobs, err := job.New(job.NewOptions(cfg.VMID, c).WithNode(s.peers).WithSnapshot(s.follower.Current).
		WithMetrics(s.opts.Registry).WithLog(s.opts.Log).WithStoreRates(cfg.StoreWritesPerSecond, cfg.StoreReadsPerSecond))
	if err != nil {
		return merry.Errorf("start jobs: %w", err)
	}
	s.jobs = jobs
	return nil
}

// BatchItemsDone returns the number of batch items for which this process has recorded an outcome.
func (s *Server) BatchItemsDone() int {
	return int(metrics.GetOrRegisterCounter("jobs.items.done", s.opts.Registry).Count())
}

// takeItems returns up to n claimed items of the model, with bodies in the form that engines accept. Items
// whose body can't be converted fail at once.
func (s *Server) takeItems(model string, n int) []upstream.BatchItem {
	taken := s.jobs.Take(model, n)
	items := make([]upstream.BatchItem, 0, len(taken))
	for _, item := range taken {
		body, err := caller.UpstreamBody(item.Body, item.Model)
		if err != nil {
			s.rejectItem(item, err)
			continue
		}
		items = append(items, upstream.BatchItem{
			ID: item.ID(), Model: item.Model, Path: item.Endpoint, Body: body, Idempotent: item.Idempotent,
			Alone: item.Alone, Context: item.Context(),
			Begin:  func() bool { return s.jobs.Start(item) },
			Return: func() { s.jobs.Return(item) },
			Done: func(r upstream.BatchResult) {
				s.jobs.Done(item, job.Result{Status: r.Status, Body: r.Body, Retry: r.Retry, Lost: r.Lost, Error: r.Error})
			},
		})
	}
	return items
}

// rejectItem fails an item whose body can't be converted into a request to an engine.
func (s *Server) rejectItem(item job.Item, err error) {
	if s.jobs.Start(item) {
		s.jobs.Done(item, job.Result{Status: http.StatusBadRequest, Error: err.Error()})
	}
}

// authenticateBatch identifies the caller of a request to the files and batches API.
func (s *Server) authenticateBatch(r *http.Request) (batches.Caller, error) {
	account, ok := caller.Authenticate(s.follower.Current(), r)
	if !ok {
		return batches.Caller{}, batches.ErrUnauthenticated
	}
	return batches.Caller{Account: account.Name, Team: account.Team}, nil
}

// serves reports whether the model belongs to a service whose upstreams are engines.
func (s *Server) serves(model string) bool {
	service, ok := s.follower.Current().ServiceOf(model)
	return ok && service.Kind == config.KindEngine
}
