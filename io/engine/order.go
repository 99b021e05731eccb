package engine

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"mothcart/core/order"
)

// ordersPath is the path at an engine to which orders are sent and from which the state reached is read.
const ordersPath = "/v1/orders"

// ErrOldFence means that the engine has seen a higher fencing number.
var ErrOldFence = merry.Sentinel("the engine has seen a higher fencing number")

type orderedModel struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

type orderRequest struct {
	FencingNumber uint64         `json:"fencingNumber"`
	LeaseMillis   int64          `json:"leaseMillis"`
	Models        []orderedModel `json:"models"`
	Adapters      []orderedModel `json:"adapters"`
}

type orderState struct {
	Loaded  []orderedModel `json:"loaded"`
	Loading bool           `json:"loading"`
}

// OrderState is an engine's report of its models and adapters.
type OrderState struct {
	Loaded  []order.Loaded
	Loading bool
}

// Order sends the desired state to the engine; the same order may be sent again. It fails with
// ErrOldFence when the engine checks fencing numbers and has seen a higher one.
func (c *Client) Order(ctx context.Context, address string, fence uint64, d order.Desired) error {
	ctx, cancel := context.WithTimeout(ctx, order.OrderTimeout)
	defer cancel()
	req := orderRequest{
		FencingNumber: fence, LeaseMillis: order.LeaseTime.Milliseconds(),
		Models: toWire(d.Models), Adapters: toWire(d.Adapters),
	}
	err := c.control(ctx, c.transport, http.MethodPost, address, ordersPath, req, nil)
	var f *Failure
	if errors.As(err, &f) && f.Status == http.StatusConflict {
		return merry.Errorf("order to %s: %w", address, ErrOldFence)
	}
	if err != nil {
		return merry.Errorf("order to %s: %w", address, err)
	}
	return nil
}

// OrderState reads what the engine has loaded.
func (c *Client) OrderState(ctx context.Context, address string) (OrderState, error) {
	var s orderState
	if err := c.control(ctx, c.transport, http.MethodGet, address, ordersPath, nil, &s); err != nil {
		return OrderState{}, merry.Errorf("order state of %s: %w", address, err)
	}
	state := OrderState{Loading: s.Loading}
	for _, m := range s.Loaded {
		state.Loaded = append(state.Loaded, order.Loaded(m))
	}
	return state, nil
}

func toWire(list []order.Loaded) []orderedModel {
	wire := make([]orderedModel, 0, len(list))
	for _, l := range list {
		wire = append(wire, orderedModel(l))
	}
	return wire
}
