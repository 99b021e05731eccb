package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// orders is the desired state of the engine and what it has reached.
type orders struct {
	last   order
	loaded []string
	// wanted replaces loaded at readyAt.
	wanted  []string
	readyAt time.Duration
}

type orderState struct {
	FencingNumber uint64         `json:"fencingNumber"`
	Models        []orderedModel `json:"models"`
	Adapters      []string       `json:"adapters"`
	Role          string         `json:"role"`
	Loaded        []string       `json:"loaded"`
	Loading       bool           `json:"loading"`
}

func newOrders(opts Options) orders { return orders{loaded: opts.Models, wanted: opts.Models} }

// at returns the orders with a finished load applied.
func (o orders) at(now time.Duration) orders {
	if now >= o.readyAt {
		o.loaded = o.wanted
	}
	return o
}

func (e *Engine) models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = e.orders.at(e.now())
	return e.orders.loaded
}

// holds reports whether a model is loaded.
func (e *Engine) holds(name string) bool {
	for _, m := range e.models() {
		if m == name {
			return true
		}
	}
	return false
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
	present := e.orders.at(now)
	if e.opts.CheckFencing && o.FencingNumber < present.last.FencingNumber {
		writeError(w, "", http.StatusConflict, "fencing_number_old", "a newer fencing number was seen")
		return
	}
	present.last = o
	if len(o.Models) > 0 {
		present = present.withModels(o.Models, now+e.opts.LoadDelay)
	}
	e.orders = present
	w.WriteHeader(http.StatusNoContent)
}

// withModels returns the orders with a load started when a model is new.
func (o orders) withModels(models []orderedModel, readyAt time.Duration) orders {
	present := map[string]bool{}
	for _, name := range o.loaded {
		present[name] = true
	}
	o.wanted = nil
	o.readyAt = 0
	for _, m := range models {
		o.wanted = append(o.wanted, m.Name)
		if !present[m.Name] {
			o.readyAt = readyAt
		}
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
