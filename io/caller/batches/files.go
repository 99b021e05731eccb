package batches

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/job"
)

// Purposes of files.
const (
	purposeBatch  = "batch"
	purposeOutput = "batch_output"
)

// Prefixes of the IDs of the files that a batch generates; the batch's ID follows.
const (
	outputPrefix = "file-output-"
	errorPrefix  = "file-errors-"
)

// file is OpenAI's file object.
type file struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at,omitempty"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

type deletedFile struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func fileOf(f job.File) file {
	return file{
		ID:        f.ID,
		Object:    "file",
		Bytes:     f.Bytes,
		CreatedAt: f.Created.Unix(),
		ExpiresAt: f.Expires.Unix(),
		Filename:  f.Name,
		Purpose:   f.Purpose,
		Status:    "processed",
	}
}

// maxFieldBytes bounds the bytes that are read of the field purpose of an upload.
const maxFieldBytes = 4 << 10

// uploadFile stores the file of a multipart form, in which the purpose may come before or after the file.
func (s *server) uploadFile(w http.ResponseWriter, r *http.Request, c Caller) error {
	form, err := r.MultipartReader()
	if err != nil {
		return merry.Errorf("multipart form: %w: %w", errBadRequest, err)
	}
	var f job.File
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return merry.Errorf("multipart form: %w: %w", errBadRequest, err)
		}
		switch part.FormName() {
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if err != nil {
				return merry.Errorf("purpose: %w: %w", errBadRequest, err)
			}
			purpose = string(value)
		case "file":
			if f, err = s.jobs.PutFile(r.Context(), c.Team, part.FileName(), purposeBatch, part); err != nil {
				return err
			}
		}
	}
	switch {
	case f.ID == "":
		return merry.Errorf("the form has no file: %w", errBadRequest)
	case purpose != purposeBatch:
		_ = s.jobs.DeleteFile(r.Context(), c.Team, f.ID)
		return merry.Errorf("purpose must be %q: %w", purposeBatch, errBadRequest)
	}
	writeJSON(w, http.StatusOK, fileOf(f))
	return nil
}

func (s *server) listFiles(w http.ResponseWriter, r *http.Request, c Caller) error {
	after, limit := pageOf(r)
	files, more, err := s.jobs.ListFiles(r.Context(), c.Team, after, limit)
	if err != nil {
		return err
	}
	data := make([]file, 0, len(files))
	for _, f := range files {
		data = append(data, fileOf(f))
	}
	writeJSON(w, http.StatusOK, listOf(data, more, func(f file) string { return f.ID }))
	return nil
}

// batchOf returns the ID of the batch that generated the file id; failed is set for the batch's error file. It
// returns false for ok if the file was uploaded.
func batchOf(id string) (batchID string, failed, ok bool) {
	if batchID, ok = strings.CutPrefix(id, outputPrefix); ok {
		return batchID, false, true
	}
	batchID, ok = strings.CutPrefix(id, errorPrefix)
	return batchID, true, ok
}

// getFile answers with the description of a file. The size of a file that a batch generates is not known
// before it is read, and is given as 0.
func (s *server) getFile(w http.ResponseWriter, r *http.Request, c Caller) error {
	id := r.PathValue("id")
	batchID, _, generated := batchOf(id)
	if !generated {
		f, err := s.jobs.GetFile(r.Context(), c.Team, id)
		if err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, fileOf(f))
		return nil
	}
	b, err := s.jobs.Get(r.Context(), c.Team, batchID)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, file{
		ID:        id,
		Object:    "file",
		CreatedAt: b.Head.Created.Unix(),
		ExpiresAt: unixOrZero(expiryOf(b)),
		Filename:  id + ".jsonl",
		Purpose:   purposeOutput,
		Status:    "processed",
	})
	return nil
}

// expiryOf returns the time at which an ended batch is deleted, and the zero time for a batch that runs.
func expiryOf(b job.Status) time.Time {
	if b.Head.Ended.IsZero() {
		return time.Time{}
	}
	return b.Head.Ended.Add(b.Head.Retention)
}

func (s *server) deleteFile(w http.ResponseWriter, r *http.Request, c Caller) error {
	id := r.PathValue("id")
	if _, _, generated := batchOf(id); generated {
		return merry.Errorf("files of a batch are deleted with the batch: %w", errBadRequest)
	}
	if err := s.jobs.DeleteFile(r.Context(), c.Team, id); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, deletedFile{ID: id, Object: "file", Deleted: true})
	return nil
}

func (s *server) fileContent(w http.ResponseWriter, r *http.Request, c Caller) error {
	id := r.PathValue("id")
	if batchID, failed, generated := batchOf(id); generated {
		return s.writeOutcomes(w, r, c, batchID, failed)
	}
	f, err := s.jobs.GetFile(r.Context(), c.Team, id)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := io.Copy(w, s.jobs.OpenFile(r.Context(), f)); err != nil {
		s.abort(r, err)
	}
	return nil
}

// abort logs the error and aborts the connection within the answer's body, so that the caller can't take a
// truncated body for a complete one.
func (s *server) abort(r *http.Request, err error) {
	s.log.Warn().Str("path", r.URL.Path).Err(err).Msg("answerBrokenOff")
	panic(http.ErrAbortHandler)
}
