package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mothcart/core/outcome"
	"mothcart/io/store"
)

// Handler serves the object service's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.ObjectsPath+"{key...}", s.serveRead)
	mux.HandleFunc("PUT "+store.ObjectsPath+"{key...}", s.servePut)
	mux.HandleFunc("DELETE "+store.ObjectsPath+"{key...}", s.serveDelete)
	return mux
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if key == "" {
		s.serveList(w, r)
		return
	}
	q := r.URL.Query()
	var o store.Object
	var err error
	if q.Has(store.ParamWatchAfter) {
		after, _ := strconv.ParseUint(q.Get(store.ParamWatchAfter), 10, 64)
		wait, _ := strconv.ParseInt(q.Get(store.ParamWaitMillis), 10, 64)
		o, err = s.watch(r.Context(), key, store.Version(after), time.Duration(wait)*time.Millisecond)
	} else {
		o, err = s.get(r.Context(), key)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", store.ETag(o.Version))
	_, _ = w.Write(o.Value)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get(store.ParamLimit))
	objects, err := s.list(r.Context(), q.Get(store.ParamPrefix), q.Get(store.ParamAfter), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	listed := make([]store.ListedObject, 0, len(objects))
	for _, o := range objects {
		listed = append(listed, store.ListedObject{Key: o.Key, Version: o.Version})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listed)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := s.put(r.Context(), r.PathValue("key"), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", store.ETag(version))
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	if err := s.remove(r.Context(), r.PathValue("key"), expect); err != nil {
		writeError(w, err)
	}
}

// expectedVersion reads the precondition; a write without one is refused.
func expectedVersion(w http.ResponseWriter, r *http.Request) (store.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return store.Absent, true
	}
	v, err := store.ParseETag(r.Header.Get("If-Match"))
	if err != nil {
		http.Error(w, "a write needs If-Match or If-None-Match", http.StatusPreconditionRequired)
		return 0, false
	}
	return v, true
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case store.OutcomeOf(err) == outcome.Unknown:
		status = http.StatusGatewayTimeout
	case errors.Is(err, store.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		status = http.StatusPreconditionFailed
	}
	http.Error(w, err.Error(), status)
}
