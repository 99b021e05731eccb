package home

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"mothcart/io/object"
	"mothcart/io/store"
)

// announce writes the announcement of this node as the home, unless one of this or a later term is stored.
// It reports whether it succeeded.
func (e *Elector) announce(ctx context.Context, term int64) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	a := Announcement{Term: term, VM: e.opts.VMID, Address: e.opts.Address}
	err := e.writeAnnouncement(ctx, a)
	if err != nil {
		e.opts.Log.Warn().Int64("term", term).Err(err).Msg("homeNotAnnounced")
		return false
	}
	return true
}

func (e *Elector) writeAnnouncement(ctx context.Context, a Announcement) error {
	o, err := object.Create(ctx, e.opts.Objects, KindHomes, mainName, a)
	if err == nil {
		return nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return merry.Errorf("create announcement: %w", err)
	}
	old, err := decodeAnnouncement(o)
	if err == nil && old.Term >= a.Term {
		return nil
	}
	if _, err := e.opts.Objects.Put(ctx, KindHomes, mainName, a, o.Revision); err != nil {
		return merry.Errorf("replace announcement of term %d: %w", old.Term, err)
	}
	return nil
}

func decodeAnnouncement(o object.Object) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(o.Spec, &a); err != nil {
		return a, merry.Errorf("decode announcement at revision %d: %w", o.Revision, err)
	}
	return a, nil
}

// ApplyAnnouncements passes the announcements in a change of KindHomes to a client.
func ApplyAnnouncements(c *Client, change object.Change, log zerolog.Logger) {
	for _, e := range change.Events {
		if !e.Deleted {
			change.Objects = append(change.Objects, e.Object)
		}
	}
	for _, o := range change.Objects {
		a, err := decodeAnnouncement(o)
		if err != nil {
			log.Error().Err(err).Msg("announcementSkipped")
			continue
		}
		c.Announce(a)
	}
}
