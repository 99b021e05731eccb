package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/io/operator"
	"mothcart/io/scrape"
	"mothcart/io/store"
	"mothcart/io/upstream"
)

// Paths of the operators' port: a GET of PathVM returns the state of the VM, a POST to PathDrain starts its
// drain.
const (
	PathVM    = "/v1/vm"
	PathDrain = "/v1/drain"
)

// Status is the state of one VM as operators see it.
type Status struct {
	VM         string `json:"vm"`
	Ready      bool   `json:"ready"`
	Reason     string `json:"reason,omitempty"`
	Draining   bool   `json:"draining"`
	Generation uint64 `json:"generation"`
	// ConfirmedMillis is the time since the configuration was confirmed by the platform or a peer.
	ConfirmedMillis int64                   `json:"confirmedMillis"`
	Members         []string                `json:"members"`
	InFlight        int                     `json:"inFlight"`
	Waiting         int                     `json:"waiting"`
	Engines         []upstream.EngineStatus `json:"engines"`
}

// operatorHandler returns the handler of the operators' port.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	options := operator.NewOptions(s.follower)
	options.Plain = s.opts.Settings.OperatorCert == ""
	mux.Handle("/v1/configuration", operator.NewHandler(options))
	mux.Handle("/v1/configuration/", operator.NewHandler(options))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /metrics", scrape.Handler(s.opts.Registry).ServeHTTP)
	mux.HandleFunc("GET "+PathVM, s.serveStatus)
	mux.HandleFunc("POST "+PathDrain, s.serveDrain)
	mux.HandleFunc("POST /v1/vms/{id}/leaving", s.serveLeaving)
	return mux
}

// ready reports whether the load balancer may send requests to this VM, and the reason if it may not.
func (s *Server) ready(now time.Time) (bool, string) {
	switch {
	case s.drain.isStarted():
		return false, "draining"
	case s.follower.Current().Generation == 0:
		return false, "no configuration yet"
	case s.follower.Confirmed(now) > s.opts.Settings.StaleConfigLimit:
		return false, "configuration not confirmed by platform or peers"
	default:
		return true, ""
	}
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := s.ready(time.Now()); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) status(now time.Time) Status {
	ready, reason := s.ready(now)
	st := Status{
		VM: s.opts.Settings.VMID, Ready: ready, Reason: reason, Draining: s.drain.isStarted(),
		Generation: s.follower.Current().Generation, ConfirmedMillis: s.follower.Confirmed(now).Milliseconds(),
		Members: s.peers.View().IDs(), InFlight: s.handler.InFlight(), Waiting: s.router.Waiting(),
		Engines: []upstream.EngineStatus{},
	}
	if home := s.home.Load(); home != nil {
		st.Engines = home.Engines()
		sort.Slice(st.Engines, func(i, j int) bool { return st.Engines[i].ID < st.Engines[j].ID })
	}
	return st
}

// Engines returns the state of the upstreams that this VM is home of.
func (s *Server) Engines() []upstream.EngineStatus { return s.status(time.Now()).Engines }

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.status(time.Now()))
}

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusAccepted)
}

// serveLeaving marks a VM of any group as leaving; gossip carries the mark to all VMs.
func (s *Server) serveLeaving(w http.ResponseWriter, r *http.Request) {
	s.peers.MarkLeaving(r.PathValue("id"))
	w.WriteHeader(http.StatusAccepted)
}

// countedStore returns a client that makes the calls of c and counts them by kind in r.
func countedStore(c store.Client, r metrics.Registry) store.Client {
	return store.Counted(c, func(kind string) { metrics.GetOrRegisterCounter("store."+kind, r).Inc(1) })
}
