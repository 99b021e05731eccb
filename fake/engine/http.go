package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serveGeneration(w, r, true)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serveGeneration(w, r, false)
	})
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", e.serveCancel)
	mux.HandleFunc("POST /v1/orders", e.servePostOrder)
	mux.HandleFunc("GET /v1/orders", e.serveGetOrder)
	return mux
}

func containsMark(prompt, mark string) bool { return strings.Contains(prompt, mark) }

func (e *Engine) serveGeneration(w http.ResponseWriter, r *http.Request, chat bool) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	var g generation
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &g)
	}
	if err != nil {
		writeError(w, id, http.StatusBadRequest, "invalid_request_error", "body: "+err.Error())
		return
	}
	prompt, prefix, err := promptOf(g, chat)
	if err != nil {
		writeError(w, id, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !e.isLoaded(g.Model) {
		writeError(w, id, http.StatusNotFound, "model_not_found", "model "+g.Model+" is not loaded")
		return
	}
	s := &stream{
		id:        id,
		model:     g.Model,
		prompt:    prompt,
		hash:      promptHash(g.Model, prompt),
		chat:      chat,
		streaming: g.Stream,
		crashes:   containsMark(prompt, crashMark),
		changed:   make(chan struct{}, 1),
	}
	e.open(r, g, s, prefix)
	defer e.close(s)
	e.answer(w, r, s)
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range e.models() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "engine"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	models := e.models()
	e.mu.Lock()
	l := e.model.Report(e.now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, loadReport{
		Running:          l.Running,
		Waiting:          l.Waiting,
		KVUsedTokens:     l.KVUsedTokens,
		KVCapacityTokens: e.opts.KVTokens,
		MaxRunning:       e.opts.MaxRunning,
		ReportedAtMillis: l.At.Milliseconds(),
		Models:           models,
	})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.model.CacheEvents(e.now(), after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, cacheReport{Events: events})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("id")) {
		writeError(w, "", http.StatusNotFound, "request_not_found", "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, id string, status int, code, text string) {
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	writeJSON(w, status, errorBody{Error: errorDetail{Message: text, Type: kind, Code: code}})
}

// unixNow is the creation time shown in answers; nothing depends on it.
func unixNow() int64 { return time.Now().Unix() }
