package batches

import (
	"cmp"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	corejob "mothcart/core/job"
	"mothcart/io/job"
)

// Keys of a batch's metadata that set options of mothcart.
const (
	metaClass      = "class"
	metaKey        = "key"
	metaIdempotent = "idempotent"
)

// headerKey carries the client key of a submission.
const headerKey = "Idempotency-Key"

// maxRequestBytes bounds the body of a request that creates a batch.
const maxRequestBytes = 64 << 10

type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batch is OpenAI's batch object.
type batch struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Model            string            `json:"model"`
	Errors           *lineErrorList    `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     *int64            `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	FinalizingAt     *int64            `json:"finalizing_at"`
	CompletedAt      *int64            `json:"completed_at"`
	FailedAt         *int64            `json:"failed_at"`
	ExpiredAt        *int64            `json:"expired_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
	Mothcart         extension         `json:"mothcart"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// extension holds mothcart's own fields of a batch object, besides OpenAI's.
type extension struct {
	// AtRisk reports that the batch will miss its completion window at its present speed; Late reports that it
	// has missed it.
	AtRisk bool `json:"atRisk"`
	Late   bool `json:"late"`
	// Unknown and Cancelled count requests that request_counts includes in failed.
	Unknown   int `json:"unknown"`
	Cancelled int `json:"cancelled"`
	// Held is the number of chunks that VMs are working on.
	Held int `json:"held"`
}

func unixOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Unix()
}

func batchFrom(s job.Status) batch {
	h, n := s.Head, s.Counts
	output, failed := outputPrefix+h.ID, errorPrefix+h.ID
	b := batch{
		ID:               h.ID,
		Object:           "batch",
		Endpoint:         h.Endpoint,
		Model:            h.Model,
		InputFileID:      h.InputFile,
		CompletionWindow: h.Window,
		Status:           h.State.String(),
		OutputFileID:     &output,
		ErrorFileID:      &failed,
		CreatedAt:        h.Created.Unix(),
		InProgressAt:     unixOrNil(h.Created),
		ExpiresAt:        h.Deadline.Unix(),
		CancellingAt:     unixOrNil(h.CancelledAt),
		RequestCounts: requestCounts{
			Total:     h.Items,
			Completed: n.Succeeded,
			Failed:    n.Failed + n.Unknown + n.Cancelled,
		},
		Metadata: h.Metadata,
		Mothcart: extension{AtRisk: s.AtRisk, Late: s.Late, Unknown: n.Unknown, Cancelled: n.Cancelled, Held: s.Held},
	}
	switch h.State {
	case corejob.Completed:
		b.CompletedAt = unixOrNil(h.Ended)
	case corejob.Cancelled:
		b.CancelledAt = unixOrNil(h.Ended)
	}
	if h.State.Terminal() && n.Succeeded == 0 {
		b.OutputFileID = nil
	}
	if h.State.Terminal() && n.Succeeded == h.Items {
		b.ErrorFileID = nil
	}
	return b
}

func unixOrNil(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	u := t.Unix()
	return &u
}

// createBatch checks every line of the input file, and accepts the batch if all are valid.
func (s *server) createBatch(w http.ResponseWriter, r *http.Request, c Caller) error {
	var req createRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		return merry.Errorf("request body: %w: %w", errBadRequest, err)
	}
	if req.InputFileID == "" || req.Endpoint == "" {
		return merry.Errorf("input_file_id and endpoint are needed: %w", errBadRequest)
	}
	if _, err := time.ParseDuration(req.CompletionWindow); err != nil {
		return merry.Errorf("completion_window must be a time such as 24h: %w", errBadRequest)
	}
	f, err := s.jobs.GetFile(r.Context(), c.Team, req.InputFileID)
	if err != nil {
		return err
	}
	input, err := parseInput(s.jobs.OpenFile(r.Context(), f), req.Endpoint, s.serves)
	if err != nil {
		return err
	}
	status, err := s.jobs.Submit(r.Context(), job.Spec{
		Team:          c.Team,
		Account:       c.Account,
		Key:           cmp.Or(r.Header.Get(headerKey), req.Metadata[metaKey]),
		Class:         req.Metadata[metaClass],
		Model:         input.model,
		Endpoint:      req.Endpoint,
		Window:        req.CompletionWindow,
		InputFile:     f.ID,
		Metadata:      req.Metadata,
		NonIdempotent: req.Metadata[metaIdempotent] == "false",
		Items:         input.items,
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, batchFrom(status))
	return nil
}

func (s *server) listBatches(w http.ResponseWriter, r *http.Request, c Caller) error {
	after, limit := pageOf(r)
	page, err := s.jobs.List(r.Context(), c.Team, after, limit)
	if err != nil {
		return err
	}
	data := make([]batch, 0, len(page.Jobs))
	for _, j := range page.Jobs {
		data = append(data, batchFrom(j))
	}
	writeJSON(w, http.StatusOK, listOf(data, page.More, func(b batch) string { return b.ID }))
	return nil
}

func (s *server) getBatch(w http.ResponseWriter, r *http.Request, c Caller) error {
	status, err := s.jobs.Get(r.Context(), c.Team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, batchFrom(status))
	return nil
}

func (s *server) cancelBatch(w http.ResponseWriter, r *http.Request, c Caller) error {
	status, err := s.jobs.Cancel(r.Context(), c.Team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, batchFrom(status))
	return nil
}
