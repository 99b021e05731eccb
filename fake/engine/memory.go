package engine

import (
	"container/list"
	"strconv"
	"time"
)

// blockKey names a cached block: a shared prefix or the saved state of a paused stream.
type blockKey string

func stateKey(id string) blockKey { return blockKey("state/" + id) }

func prefixKey(prefix uint64) blockKey {
	return blockKey("prefix/" + strconv.FormatUint(prefix, 16))
}

// block is a part of the KV memory that may be evicted while nothing uses it.
type block struct {
	key     blockKey
	prefix  uint64
	tokens  int
	pins    int
	expires time.Duration
	element *list.Element
}

// memory counts the KV tokens and orders the unpinned blocks by their last use.
type memory struct {
	capacity int
	used     int
	// unpinned counts the tokens of the blocks that may be evicted.
	unpinned int
	blocks   map[blockKey]*block
	idle     *list.List
	// evicted holds the evicted prefixes that Model.recordEvictions has not recorded yet.
	evicted []uint64
}

func newMemory(capacity int) memory {
	return memory{capacity: capacity, blocks: map[blockKey]*block{}, idle: list.New()}
}

// reserve reserves tokens and evicts the least recently used blocks for them if needed. It reports false
// if the unpinned blocks don't suffice.
func (m *memory) reserve(tokens int) bool {
	for m.used+tokens > m.capacity {
		oldest := m.idle.Front()
		if oldest == nil {
			return false
		}
		m.evict(oldest.Value.(*block))
	}
	m.used += tokens
	return true
}

// pinned returns the tokens that cannot be evicted.
func (m *memory) pinned() int { return m.used - m.unpinned }

func (m *memory) free(tokens int) { m.used -= tokens }

// store adds an unpinned block in place of the one with this key. It returns nil if the pinned memory
// leaves too few tokens.
func (m *memory) store(key blockKey, tokens int, expires time.Duration) *block {
	m.drop(key)
	if !m.reserve(tokens) {
		return nil
	}
	b := &block{key: key, tokens: tokens, expires: expires}
	m.blocks[key] = b
	m.markIdle(b)
	return b
}

func (m *memory) pin(b *block) {
	if b.element != nil {
		m.idle.Remove(b.element)
		m.unpinned -= b.tokens
		b.element = nil
	}
	b.pins++
}

func (m *memory) unpin(b *block) {
	b.pins--
	if b.pins == 0 {
		m.markIdle(b)
	}
}

// markIdle adds a block to the unpinned ones as the most recently used.
func (m *memory) markIdle(b *block) {
	b.element = m.idle.PushBack(b)
	m.unpinned += b.tokens
}

func (m *memory) evict(b *block) {
	m.idle.Remove(b.element)
	delete(m.blocks, b.key)
	m.unpinned -= b.tokens
	m.used -= b.tokens
	if b.prefix != 0 {
		m.evicted = append(m.evicted, b.prefix)
	}
}

// drop removes an unpinned block.
func (m *memory) drop(key blockKey) {
	if b := m.blocks[key]; b != nil && b.element != nil {
		m.evict(b)
	}
}

// expire removes the saved states that have expired; prefixes don't expire.
func (m *memory) expire(now time.Duration) {
	for e := m.idle.Front(); e != nil; {
		b := e.Value.(*block)
		e = e.Next()
		if b.expires != 0 && b.expires <= now {
			m.evict(b)
		}
	}
}
