package publication

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"mothcart/core/config"
)

// accountsPerBlock is the largest mean number of accounts in a block.
const accountsPerBlock = 256

// maxShards bounds the blocks of accounts.
const maxShards = 4096

// Part is one block of a set.
type Part struct {
	Digest Digest
	// Data is the compressed content.
	Data []byte
}

// Parts is a complete set, encoded as blocks.
type Parts struct {
	// Objects holds all kinds but accounts.
	Objects Part
	// Accounts holds the accounts by the hash of their names; its length is 0 or a power of two.
	Accounts []Part
}

// shardCount returns the number of blocks for n accounts.
func shardCount(n int) int {
	blocks := (n + accountsPerBlock - 1) / accountsPerBlock
	if blocks <= 1 {
		return blocks
	}
	return min(maxShards, 1<<bits.Len(uint(blocks-1)))
}

func shardOf(name string, shards int) int {
	return int(xxhash.Sum64String(name) & uint64(shards-1))
}

// Shard is a block of accounts with its content.
type Shard struct {
	Part
	Accounts []config.Account
}

// Split encodes the set. A block of accounts is reused from previous if the one at the same index has
// the same accounts. Split returns ErrTooLarge if a part doesn't fit into one block.
func Split(set config.Set, previous []Shard) (Parts, error) {
	var parts Parts
	shards := make([][]config.Account, shardCount(len(set.Accounts)))
	for _, a := range set.Accounts {
		i := shardOf(a.Name, len(shards))
		shards[i] = append(shards[i], a)
	}
	for i, accounts := range shards {
		if len(previous) == len(shards) && slices.Equal(previous[i].Accounts, accounts) {
			parts.Accounts = append(parts.Accounts, previous[i].Part)
			continue
		}
		part, err := encodePart(accounts)
		if err != nil {
			return Parts{}, merry.Errorf("accounts: %w", err)
		}
		parts.Accounts = append(parts.Accounts, part)
	}
	set.Accounts = nil
	objects, err := encodePart(set)
	if err != nil {
		return Parts{}, merry.Errorf("objects: %w", err)
	}
	parts.Objects = objects
	return parts, nil
}

func encodePart(v any) (Part, error) {
	digest, data, err := encodeBlock(v)
	return Part{Digest: digest, Data: data}, err
}

// DecodeAccounts decodes a block of accounts.
func DecodeAccounts(digest Digest, data []byte) ([]config.Account, error) {
	var accounts []config.Account
	err := decodeBlock(digest, data, &accounts)
	return accounts, err
}

// DecodeObjects decodes the block of all kinds but accounts.
func DecodeObjects(digest Digest, data []byte) (config.Set, error) {
	var set config.Set
	err := decodeBlock(digest, data, &set)
	return set, err
}

// Join returns the set that the decoded blocks make up.
func Join(objects config.Set, shards [][]config.Account) config.Set {
	n := 0
	for _, accounts := range shards {
		n += len(accounts)
	}
	set := objects
	if n == 0 {
		return set
	}
	set.Accounts = make([]config.Account, 0, n)
	for _, accounts := range shards {
		set.Accounts = append(set.Accounts, accounts...)
	}
	slices.SortFunc(set.Accounts, func(a, b config.Account) int { return strings.Compare(a.Name, b.Name) })
	return set
}
