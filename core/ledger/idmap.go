package ledger

import "iter"

// idMap is an immutable map from IDs to values, a radix tree with 16 children per node. A change
// copies the path from the root, so that older versions stay as they were.
type idMap[V any] struct {
	root *idNode[V]
	n    int
}

type idNode[V any] struct {
	children [16]*idNode[V]
	leaf     *idLeaf[V]
}

type idLeaf[V any] struct {
	id    ID
	value V
}

// nibble returns the branch of id at depth. The first bytes of an ID choose the shard, so the
// branches use the bytes from index 8 on.
func nibble(id ID, depth int) int {
	b := id[(8+depth/2)%hashBytes]
	if depth%2 == 0 {
		return int(b >> 4)
	}
	return int(b & 15)
}

func (m idMap[V]) len() int { return m.n }

func (m idMap[V]) get(id ID) (V, bool) {
	n := m.root
	for depth := 0; n != nil; depth++ {
		if n.leaf != nil {
			if n.leaf.id == id {
				return n.leaf.value, true
			}
			break
		}
		n = n.children[nibble(id, depth)]
	}
	var none V
	return none, false
}

func (m idMap[V]) has(id ID) bool {
	_, ok := m.get(id)
	return ok
}

func (m idMap[V]) with(id ID, v V) idMap[V] {
	size := m.n
	if !m.has(id) {
		size++
	}
	return idMap[V]{root: m.root.with(&idLeaf[V]{id, v}, 0), n: size}
}

func (n *idNode[V]) with(leaf *idLeaf[V], depth int) *idNode[V] {
	if n == nil || (n.leaf != nil && n.leaf.id == leaf.id) {
		return &idNode[V]{leaf: leaf}
	}
	c := *n
	if n.leaf != nil {
		c = idNode[V]{}
		c.children[nibble(n.leaf.id, depth)] = n
	}
	branch := nibble(leaf.id, depth)
	c.children[branch] = c.children[branch].with(leaf, depth+1)
	return &c
}

func (m idMap[V]) without(id ID) idMap[V] {
	if !m.has(id) {
		return m
	}
	return idMap[V]{root: m.root.without(id, 0), n: m.n - 1}
}

func (n *idNode[V]) without(id ID, depth int) *idNode[V] {
	if n.leaf != nil {
		return nil
	}
	c := *n
	branch := nibble(id, depth)
	c.children[branch] = n.children[branch].without(id, depth+1)
	for _, child := range c.children {
		if child != nil {
			return &c
		}
	}
	return nil
}

// all yields the entries in a fixed order.
func (m idMap[V]) all() iter.Seq2[ID, V] {
	return func(yield func(ID, V) bool) { m.root.walk(yield) }
}

func (n *idNode[V]) walk(yield func(ID, V) bool) bool {
	if n == nil {
		return true
	}
	if n.leaf != nil {
		return yield(n.leaf.id, n.leaf.value)
	}
	for _, child := range n.children {
		if !child.walk(yield) {
			return false
		}
	}
	return true
}
