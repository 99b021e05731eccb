package job

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"mothcart/io/store"
)

// Limits of files.
const (
	// MaxFileBytes is the largest uploaded file.
	MaxFileBytes = 256 << 20
	// filePieceBytes is the uncompressed size of a block; a block that stays too large when
	// compressed is halved.
	filePieceBytes = 2 << 20
	// fileRetention is the time after which an uploaded file is deleted.
	fileRetention = 30 * 24 * time.Hour
	// filePrefix starts the ID of a file.
	filePrefix = "file-"
)

// ErrTooLarge means that a file exceeds MaxFileBytes.
var ErrTooLarge = merry.Sentinel("file is too large")

// File is an uploaded file.
type File struct {
	ID      string    `msgpack:"id"`
	Team    string    `msgpack:"t"`
	Name    string    `msgpack:"n"`
	Purpose string    `msgpack:"p"`
	Bytes   int64     `msgpack:"b"`
	Created time.Time `msgpack:"c"`
	Expires time.Time `msgpack:"e"`
	Blocks  []string  `msgpack:"bl"`
}

func fileKey(id string) string { return "jobs/f/" + id }

func fileTeamPrefix(team string) string { return "files:" + team }

func fileIndexKey(f File) string { return teamKey(fileTeamPrefix(f.Team), f.Created, f.ID) }

// PutFile stores the content of r as a file. The file is durable when PutFile returns. Errors:
// ErrTooLarge, ErrUnavailable, ErrOutcomeUnknown.
func (j *Jobs) PutFile(ctx context.Context, team, name, purpose string, r io.Reader) (File, error) {
	now := time.Now()
	f := File{
		ID:      filePrefix + uuid.NewString(),
		Team:    team,
		Name:    name,
		Purpose: purpose,
		Created: now,
		Expires: now.Add(fileRetention),
	}
	// The expiry is written first, so that the blocks of an incomplete upload are deleted when it expires.
	if err := j.createOnce(ctx, expiryKey(f.ID, f.Expires), []byte(f.ID)); err != nil {
		return f, merry.Errorf("put file: %w", storeError(err))
	}
	f, err := j.putPieces(ctx, f, r)
	if err != nil {
		return f, merry.Errorf("put file: %w", storeError(err))
	}
	if err := j.createOnce(ctx, fileIndexKey(f), []byte(f.ID)); err != nil {
		return f, merry.Errorf("put file: %w", storeError(err))
	}
	raw, err := encode(f)
	if err != nil {
		return f, err
	}
	if err := j.createOnce(ctx, fileKey(f.ID), raw); err != nil {
		return f, merry.Errorf("put file: %w", storeError(err))
	}
	return f, nil
}

func (j *Jobs) putPieces(ctx context.Context, f File, r io.Reader) (File, error) {
	piece := make([]byte, filePieceBytes)
	for {
		n, err := io.ReadFull(r, piece)
		if n > 0 {
			f.Bytes += int64(n)
			if f.Bytes > MaxFileBytes {
				return f, merry.Errorf("over %d bytes: %w", MaxFileBytes, ErrTooLarge)
			}
			var putErr error
			if f, putErr = j.putPiece(ctx, f, piece[:n]); putErr != nil {
				return f, putErr
			}
		}
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return f, nil
		case err != nil:
			return f, merry.Errorf("read upload: %w", err)
		}
	}
}

func (j *Jobs) putPiece(ctx context.Context, f File, piece []byte) (File, error) {
	data := j.codec.enc.EncodeAll(piece, nil)
	if len(data) <= maxItemBytes {
		key := blockKey(f.ID, "0000000000000000", len(f.Blocks))
		f.Blocks = append(f.Blocks, key)
		return f, j.createOnce(ctx, key, data)
	}
	half := len(piece) / 2
	f, err := j.putPiece(ctx, f, piece[:half])
	if err != nil {
		return f, err
	}
	return j.putPiece(ctx, f, piece[half:])
}

// GetFile returns a file of the team. Errors: ErrNotFound, ErrUnavailable.
func (j *Jobs) GetFile(ctx context.Context, team, id string) (File, error) {
	var f File
	o, err := j.store.Get(ctx, fileKey(id))
	if err != nil {
		return f, merry.Errorf("file %s: %w", id, storeError(err))
	}
	if err := decode(o.Value, &f); err != nil {
		return f, merry.Errorf("file %s: %w", id, err)
	}
	if f.Team != team {
		return File{}, merry.Errorf("file %s of team %s: %w", id, team, ErrNotFound)
	}
	return f, nil
}

// OpenFile returns a reader of the content of a file, which loads one block at a time.
func (j *Jobs) OpenFile(ctx context.Context, f File) io.Reader {
	return &fileReader{j: j, ctx: ctx, blocks: f.Blocks}
}

type fileReader struct {
	j      *Jobs
	ctx    context.Context
	blocks []string
	rest   []byte
}

// Read returns the next part of the file.
func (r *fileReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if len(r.blocks) == 0 {
			return 0, io.EOF
		}
		o, err := r.j.store.Get(r.ctx, r.blocks[0])
		if err != nil {
			return 0, merry.Errorf("read file: %w", storeError(err))
		}
		r.rest, err = r.j.codec.dec.DecodeAll(o.Value, nil)
		if err != nil {
			return 0, merry.Errorf("read file: %w: %w", ErrCorrupt, err)
		}
		r.blocks = r.blocks[1:]
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// ListFiles returns up to limit files of the team, newest first, that follow the file with the ID after.
func (j *Jobs) ListFiles(ctx context.Context, team, after string, limit int) (files []File, more bool, err error) {
	start := ""
	if after != "" {
		f, err := j.GetFile(ctx, team, after)
		if err != nil {
			return nil, false, err
		}
		start = fileIndexKey(f)
	}
	objects, err := j.store.List(ctx, teamPrefix(fileTeamPrefix(team)), start, limit+1)
	if err != nil {
		return nil, false, merry.Errorf("list files: %w", storeError(err))
	}
	for _, o := range objects[:min(len(objects), limit)] {
		id, _ := idOfIndex(o.Key)
		f, err := j.GetFile(ctx, team, id)
		if errors.Is(err, ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, false, err
		}
		files = append(files, f)
	}
	return files, len(objects) > limit, nil
}

// DeleteFile deletes a file. Jobs that were made from it are not changed. Errors: ErrNotFound, ErrUnavailable,
// ErrOutcomeUnknown, which is also that of a deletion that has begun.
func (j *Jobs) DeleteFile(ctx context.Context, team, id string) error {
	f, err := j.GetFile(ctx, team, id)
	if err != nil {
		return err
	}
	if err := j.remove(ctx, fileKey(f.ID)); err != nil {
		return merry.Errorf("delete file: %w", storeError(err))
	}
	if err := j.deleteFileParts(ctx, f); err != nil {
		return merry.Errorf("delete parts of file: %w", calls.Lost(err)) // the file itself is gone
	}
	return nil
}

func (j *Jobs) deleteFileParts(ctx context.Context, f File) error {
	if err := j.deletePrefix(ctx, blockPrefix(f.ID)); err != nil {
		return err
	}
	if err := j.remove(ctx, fileIndexKey(f)); err != nil {
		return err
	}
	return j.remove(ctx, expiryKey(f.ID, f.Expires))
}

// deleteExpiredFile deletes a file whose retention has expired, or the blocks of an incomplete upload.
func (j *Jobs) deleteExpiredFile(ctx context.Context, id, expiry string) error {
	o, err := j.store.Get(ctx, fileKey(id))
	switch {
	case errors.Is(err, store.ErrNotFound):
		if err := j.deletePrefix(ctx, blockPrefix(id)); err != nil {
			return err
		}
		return j.remove(ctx, expiry)
	case err != nil:
		return merry.Errorf("expired file %s: %w", id, err)
	}
	var f File
	if err := decode(o.Value, &f); err != nil {
		return err
	}
	if err := j.remove(ctx, fileKey(f.ID)); err != nil {
		return err
	}
	return j.deleteFileParts(ctx, f)
}
