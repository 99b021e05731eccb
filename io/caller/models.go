package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"mothcart/core/config"
	"mothcart/core/retry"
)

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

func (h *Handler) listModels(w http.ResponseWriter, _ *http.Request, c call) {
	writeJSON(w, http.StatusOK, modelList{Object: "list", Data: modelsOf(c.snapshot)})
}

func (h *Handler) getModel(w http.ResponseWriter, r *http.Request, c call) {
	for _, m := range modelsOf(c.snapshot) {
		if m.ID == r.PathValue("model") {
			writeJSON(w, http.StatusOK, m)
			return
		}
	}
	h.refuse(w, c, problem{status: http.StatusNotFound, code: "model_not_found", ran: retry.RanNo, message: "no model or adapter is called " + r.PathValue("model")})
}

// modelsOf lists the models and adapters by name.
func modelsOf(s *config.Snapshot) []modelBody {
	list := []modelBody{}
	for _, m := range s.Set.Models {
		list = append(list, modelBody{ID: m.Name, Object: "model", OwnedBy: m.Service})
	}
	for _, a := range s.Set.Adapters {
		list = append(list, modelBody{ID: a.Name, Object: "model", OwnedBy: a.Model})
	}
	slices.SortFunc(list, func(a, b modelBody) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
