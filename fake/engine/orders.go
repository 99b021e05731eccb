package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

// firstVersion is the version of the models that are loaded at start.
const firstVersion = "1"

// orders holds the last order of the engine and the models that are loaded or loading.
type orders struct {
	last order
	// loaded are the models and adapters that serve now.
	loaded []orderedModel
	// desired replaces loaded at time readyAt.
	desired []orderedModel
	readyAt time.Duration
	// accepted counts the accepted orders; loads counts the loads of models that they started.
	accepted, loads int
}

type orderState struct {
	FencingNumber uint64         `json:"fencingNumber"`
	Models        []orderedModel `json:"models"`
	Adapters      []orderedModel `json:"adapters"`
	Role          string         `json:"role"`
	Loaded        []orderedModel `json:"loaded"`
	Loading       bool           `json:"loading"`
}

// newOrders returns the state at start. A model of the options may carry a version, as name@2.
func newOrders(opts Options) orders {
	var loaded []orderedModel
	for _, m := range opts.Models {
		name, version, found := strings.Cut(m, "@")
		if !found {
			version = firstVersion
		}
		loaded = append(loaded, orderedModel{Name: name, Version: version})
	}
	return orders{loaded: loaded, desired: loaded}
}

// at returns the orders with a finished load applied.
func (o orders) at(now time.Duration) orders {
	if now >= o.readyAt {
		o.loaded = o.desired
	}
	return o
}

func (e *Engine) models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = e.orders.at(e.now())
	names := make([]string, 0, len(e.orders.loaded))
	for _, m := range e.orders.loaded {
		names = append(names, m.Name)
	}
	return names
}

// isLoaded reports whether a model or adapter is loaded.
func (e *Engine) isLoaded(name string) bool { return slices.Contains(e.models(), name) }

// Loading reports whether a load of models is in progress.
func (e *Engine) Loading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now() < e.orders.readyAt
}

// Loaded returns the loaded models and adapters as name@version.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = e.orders.at(e.now())
	var list []string
	for _, m := range e.orders.loaded {
		list = append(list, m.Name+"@"+m.Version)
	}
	return list
}

// Orders returns the number of orders that the engine accepted and the number of loads of models that they
// started.
func (e *Engine) Orders() (accepted, loads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.accepted, e.orders.loads
}

func (e *Engine) servePostOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, "", http.StatusBadRequest, "invalid_order", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	current := e.orders.at(now)
	if e.opts.CheckFencing && o.FencingNumber < current.last.FencingNumber {
		writeError(w, "", http.StatusConflict, "fencing_number_old", "a newer fencing number was seen")
		return
	}
	current.last = o
	current.accepted++
	e.orders = current.withDesired(append(slices.Clone(o.Models), o.Adapters...), now, now+e.opts.LoadDelay)
	w.WriteHeader(http.StatusNoContent)
}

// withDesired returns the orders with a load started if a desired model is not loaded. A repeated order and
// one without models leave a load in progress as it is.
func (o orders) withDesired(desired []orderedModel, now, readyAt time.Duration) orders {
	if len(desired) == 0 || slices.Equal(desired, o.desired) {
		return o
	}
	o.desired = desired
	o.readyAt = now
	for _, m := range desired {
		if !slices.Contains(o.loaded, m) {
			o.readyAt = readyAt
		}
	}
	if o.readyAt > now {
		o.loads++
	}
	return o
}

func (e *Engine) serveGetOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.now()
	o := e.orders.at(now)
	e.orders = o
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, orderState{
		FencingNumber: o.last.FencingNumber,
		Models:        o.last.Models,
		Adapters:      o.last.Adapters,
		Role:          o.last.Role,
		Loaded:        o.loaded,
		Loading:       now < o.readyAt,
	})
}
