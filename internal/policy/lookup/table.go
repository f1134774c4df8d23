package lookup

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/document"
)

var (
	errorNamespace = errorx.NewNamespace("lookup")
	// ErrBlockInvalid is the type of errors for blocks whose prefix a Table does not
	// support.
	ErrBlockInvalid = errorNamespace.NewType("block_invalid")
)

// Sizes of the shards of a Table.
const (
	// shardBits is the number of bits of a shard's index.
	shardBits  = 16
	shardCount = 1 << shardBits
	// minV4ShardBits and minV6ShardBits are the lengths, in bits, of the shortest
	// prefixes that lie within one shard. Shorter prefixes are stored separately.
	minV4ShardBits = 16
	minV6ShardBits = 32
	// maxV6Bits is the length, in bits, of the longest supported IPv6 prefix. The
	// network of a site has a prefix of this length.
	maxV6Bits = 64
)

// regionIndex identifies a region within a Table; 0 is no region.
type regionIndex uint16

// Table maps blocks of client addresses to regions. If blocks overlap, the one with the
// longest prefix applies. Readers take no locks. The table is divided into shards by
// the first bits of the address. A change rebuilds only the shard that holds the block,
// so its cost does not grow with the table. The zero value is an empty table.
type Table struct {
	v4 family[uint16]
	v6 family[uint64]
	// shortV4 and shortV6 hold the blocks whose prefixes are too short for one shard.
	// They are used only if the shard has no block for the address, because any block
	// in a shard has a longer prefix than these.
	shortV4 atomic.Pointer[ranges[uint64]]
	shortV6 atomic.Pointer[ranges[uint64]]
	// regionNames holds the name of each region, by regionIndex; element 0 is empty.
	// The slice is never modified, only replaced by a longer one.
	regionNames atomic.Pointer[[]string]

	mu sync.Mutex
	// entries holds the blocks from which each shard is built. Guarded by mu.
	entries map[shardID][]entry
}

// shardID identifies a shard by address family and index, or the short prefixes of a
// family.
type shardID struct {
	isV6, isShort bool
	index         uint32
}

// entry is one block of a shard.
type entry struct {
	prefix netip.Prefix
	region regionIndex
}

// family holds the shards of one address family.
type family[K uint16 | uint64] struct {
	shards [shardCount]atomic.Pointer[ranges[K]]
}

// ranges is an immutable map from ranges of keys to regions: the range from keys[i] up
// to but not including keys[i+1] belongs to regions[i].
type ranges[K uint16 | uint64] struct {
	keys    []K
	regions []regionIndex
}

// find returns the region of a key, or 0. It uses binary search.
func (r *ranges[K]) find(key K) regionIndex {
	if r == nil {
		return 0
	}
	low, high := 0, len(r.keys)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if r.keys[middle] <= key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0
	}
	return r.regions[low-1]
}

// Region returns the region of the block with the longest prefix that contains address,
// or "" if there is none.
func (t *Table) Region(address netip.Addr) string {
	found := t.find(address.Unmap())
	if found == 0 {
		return ""
	}
	return (*t.regionNames.Load())[found]
}

// find returns the region of an address, or 0.
func (t *Table) find(address netip.Addr) regionIndex {
	if address.Is4() {
		bits := v4Key(address)
		if found := t.v4.shards[bits>>shardBits].Load().find(uint16(bits)); found != 0 {
			return found
		}
		return t.shortV4.Load().find(uint64(bits))
	}
	bits := v6Key(address)
	if found := t.v6.shards[v6Shard(bits)].Load().find(bits); found != 0 {
		return found
	}
	return t.shortV6.Load().find(bits)
}

// Set adds a block, or replaces the region of a block with the same prefix.
func (t *Table) Set(block document.ClientBlock) error {
	return t.Load([]document.ClientBlock{block})
}

// Load sets several blocks and rebuilds each changed shard once.
func (t *Table) Load(blocks []document.ClientBlock) error {
	for _, block := range blocks {
		if err := checkPrefix(block.Prefix); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[shardID]bool{}
	for _, block := range blocks {
		id := shardOf(block.Prefix)
		t.put(id, entry{prefix: block.Prefix, region: t.regionIndexOf(block.Region)})
		touched[id] = true
	}
	for id := range touched {
		t.rebuild(id)
	}
	return nil
}

// Remove removes the block with the given prefix, if there is one.
func (t *Table) Remove(prefix netip.Prefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := shardOf(prefix)
	if len(t.entries[id]) == 0 {
		return
	}
	t.entries[id] = slices.DeleteFunc(t.entries[id], func(e entry) bool { return e.prefix == prefix })
	t.rebuild(id)
}

// checkPrefix returns an error if a Table does not support the prefix.
func checkPrefix(prefix netip.Prefix) error {
	switch {
	case !prefix.IsValid() || prefix != prefix.Masked() || prefix.Addr().Is4In6():
		return ErrBlockInvalid.New("block %s is not a masked prefix", prefix)
	case prefix.Addr().Is6() && prefix.Bits() > maxV6Bits:
		return ErrBlockInvalid.New("block %s is longer than %d bits", prefix, maxV6Bits)
	}
	return nil
}

// regionIndexOf returns the index of a region, which it adds if necessary. The caller
// must hold mu.
func (t *Table) regionIndexOf(region string) regionIndex {
	names := []string{""}
	if known := t.regionNames.Load(); known != nil {
		names = *known
	}
	if i := slices.Index(names, region); i > 0 {
		return regionIndex(i)
	}
	longer := append(slices.Clone(names), region)
	t.regionNames.Store(&longer)
	return regionIndex(len(longer) - 1)
}

// put adds an entry to a shard's entries, or replaces the one with the same prefix. The
// entries stay sorted by compareEntries. The caller must hold mu.
func (t *Table) put(id shardID, added entry) {
	if t.entries == nil {
		t.entries = map[shardID][]entry{}
	}
	entries := t.entries[id]
	at, found := slices.BinarySearchFunc(entries, added, compareEntries)
	if found {
		entries[at] = added
		return
	}
	t.entries[id] = slices.Insert(entries, at, added)
}

// compareEntries orders entries by address, then by prefix length.
func compareEntries(a, b entry) int {
	return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
}

// rebuild replaces a shard, as readers see it, by one built from its entries. The
// caller must hold mu.
func (t *Table) rebuild(id shardID) {
	entries := t.entries[id]
	switch {
	case id.isShort && id.isV6:
		t.shortV6.Store(flatten(entries, v6Range, identityKey))
	case id.isShort:
		t.shortV4.Store(flatten(entries, v4Range, identityKey))
	case id.isV6:
		t.v6.shards[id.index].Store(flatten(entries, v6Range, identityKey))
	default:
		t.v4.shards[id.index].Store(flatten(entries, v4Range, v4ShardKey))
	}
}

// v4ShardKey returns the lower bits of an IPv4 key, those that the shard's index does
// not contain.
func v4ShardKey(key uint64) uint16 { return uint16(key) }

// identityKey returns the key unchanged.
func identityKey(key uint64) uint64 { return key }

// flatten converts nested prefixes, sorted by compareEntries, into ranges. rangeOf
// returns the first and the last key of a prefix. shardKey converts a key into a key
// within the shard; for the key after the shard's last one it returns 0.
func flatten[K uint16 | uint64](entries []entry, rangeOf func(netip.Prefix) (first, last uint64), shardKey func(uint64) K) *ranges[K] {
	flat := &ranges[K]{}
	type open struct {
		last   uint64
		region regionIndex
	}
	var stack []open
	emit := func(key uint64, region regionIndex) {
		k := shardKey(key)
		if n := len(flat.keys); n > 0 && flat.keys[n-1] == k {
			flat.regions[n-1] = region
			return
		}
		flat.keys = append(flat.keys, k)
		flat.regions = append(flat.regions, region)
	}
	// closeBefore removes the prefixes that end before key from the stack, or all if
	// isEnd is set, and emits the region that applies after each.
	closeBefore := func(key uint64, isEnd bool) {
		for len(stack) > 0 && (isEnd || stack[len(stack)-1].last < key) {
			ended := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			enclosing := regionIndex(0)
			if len(stack) > 0 {
				enclosing = stack[len(stack)-1].region
			}
			if next := ended.last + 1; shardKey(next) != 0 {
				emit(next, enclosing)
			}
		}
	}
	for _, e := range entries {
		first, last := rangeOf(e.prefix)
		closeBefore(first, false)
		emit(first, e.region)
		stack = append(stack, open{last: last, region: e.region})
	}
	closeBefore(0, true)
	flat.keys = slices.Clip(flat.keys)
	flat.regions = slices.Clip(flat.regions)
	return flat
}

// shardOf returns the shard that holds blocks with the given prefix.
func shardOf(prefix netip.Prefix) shardID {
	address := prefix.Addr()
	if address.Is4() {
		if prefix.Bits() < minV4ShardBits {
			return shardID{isShort: true}
		}
		return shardID{index: v4Key(address) >> shardBits}
	}
	if prefix.Bits() < minV6ShardBits {
		return shardID{isV6: true, isShort: true}
	}
	return shardID{isV6: true, index: v6Shard(v6Key(address))}
}

// v4Key returns an IPv4 address as a number.
func v4Key(address netip.Addr) uint32 {
	b := address.As4()
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

// v6Key returns the upper 64 bits of an address.
func v6Key(address netip.Addr) uint64 {
	b := address.As16()
	var key uint64
	for _, octet := range b[:8] {
		key = key<<8 | uint64(octet)
	}
	return key
}

// v6Shard returns the index of the shard for a key: a multiplicative hash of the upper
// 32 bits, because the values of these bits are not evenly distributed.
func v6Shard(key uint64) uint32 {
	const oddMultiplier = 0x9e3779b1
	return (uint32(key>>32) * oddMultiplier) >> (32 - shardBits)
}

// v4Range returns the first and the last key of an IPv4 prefix.
func v4Range(prefix netip.Prefix) (first, last uint64) {
	first = uint64(v4Key(prefix.Addr()))
	return first, first | (1<<(32-prefix.Bits()) - 1)
}

// v6Range returns the first and the last key of an IPv6 prefix.
func v6Range(prefix netip.Prefix) (first, last uint64) {
	first = v6Key(prefix.Addr())
	return first, first | (1<<(64-prefix.Bits()) - 1)
}
