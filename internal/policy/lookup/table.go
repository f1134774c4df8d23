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
	// ErrBlockInvalid says that a block's prefix can't be kept in a Table.
	ErrBlockInvalid = errorNamespace.NewType("block_invalid")
)

// Sizes of a Table's parts.
const (
	// partBits is how many bits of an address choose its part.
	partBits = 16
	partsOf  = 1 << partBits
	// v4NarrowBits and v6NarrowBits are the shortest prefixes that lie within one
	// part; shorter ones are kept apart.
	v4NarrowBits = 16
	v6NarrowBits = 32
	// maxV6Bits is the longest IPv6 prefix kept: a site's network has 64 bits.
	maxV6Bits = 64
)

// class names a region within a Table; 0 is no region.
type class uint16

// Table maps blocks of client addresses to regions. The block with the longest
// prefix wins. Readers take no lock; a change rebuilds only the part that the
// block lies in, so that its cost does not grow with the table. The zero Table
// is empty.
type Table struct {
	v4 family[uint16]
	v6 family[uint64]
	// wide4 and wide6 hold the prefixes too short for one part. They are looked at
	// only when the part has no answer, which is right since theirs are shorter.
	wide4 atomic.Pointer[ranges[uint64]]
	wide6 atomic.Pointer[ranges[uint64]]
	// regions maps a class to its name; element 0 is empty. Readers see a slice
	// that is only ever replaced by a longer one.
	regions atomic.Pointer[[]string]

	mu sync.Mutex
	// blocks holds the source of each part, by part. Guarded by mu.
	blocks map[partID][]entry
}

// partID names a part: the narrow ones by family and index, and the wide ones.
type partID struct {
	isV6, isWide bool
	index        uint32
}

// entry is one block as a part keeps it.
type entry struct {
	prefix netip.Prefix
	class  class
}

// family holds the parts of one address family.
type family[K uint16 | uint64] struct {
	parts [partsOf]atomic.Pointer[ranges[K]]
}

// ranges is an immutable map from keys to classes: keys[i] starts a range that
// ends before keys[i+1] and belongs to classes[i].
type ranges[K uint16 | uint64] struct {
	keys    []K
	classes []class
}

func (r *ranges[K]) find(key K) class {
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
	return r.classes[low-1]
}

// Region returns the region of the longest block that holds address, or "".
func (t *Table) Region(address netip.Addr) string {
	found := t.find(address.Unmap())
	if found == 0 {
		return ""
	}
	return (*t.regions.Load())[found]
}

func (t *Table) find(address netip.Addr) class {
	if address.Is4() {
		bits := v4Key(address)
		if found := t.v4.parts[bits>>partBits].Load().find(uint16(bits)); found != 0 {
			return found
		}
		return t.wide4.Load().find(uint64(bits))
	}
	bits := v6Key(address)
	if found := t.v6.parts[v6Part(bits)].Load().find(bits); found != 0 {
		return found
	}
	return t.wide6.Load().find(bits)
}

// Set puts a block into the table or changes its region.
func (t *Table) Set(block document.ClientBlock) error {
	return t.Load([]document.ClientBlock{block})
}

// Load sets many blocks and rebuilds each touched part once.
func (t *Table) Load(blocks []document.ClientBlock) error {
	for _, block := range blocks {
		if err := checkPrefix(block.Prefix); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[partID]bool{}
	for _, block := range blocks {
		id := partOf(block.Prefix)
		t.put(id, entry{prefix: block.Prefix, class: t.classOf(block.Region)})
		touched[id] = true
	}
	for id := range touched {
		t.rebuild(id)
	}
	return nil
}

// Remove takes a block out of the table.
func (t *Table) Remove(prefix netip.Prefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := partOf(prefix)
	if len(t.blocks[id]) == 0 {
		return
	}
	t.blocks[id] = slices.DeleteFunc(t.blocks[id], func(e entry) bool { return e.prefix == prefix })
	t.rebuild(id)
}

func checkPrefix(prefix netip.Prefix) error {
	switch {
	case !prefix.IsValid() || prefix != prefix.Masked() || prefix.Addr().Is4In6():
		return ErrBlockInvalid.New("block %s is not a masked prefix", prefix)
	case prefix.Addr().Is6() && prefix.Bits() > maxV6Bits:
		return ErrBlockInvalid.New("block %s is longer than %d bits", prefix, maxV6Bits)
	}
	return nil
}

// classOf returns the class of a region and makes one if need be. Callers hold mu.
func (t *Table) classOf(region string) class {
	names := []string{""}
	if known := t.regions.Load(); known != nil {
		names = *known
	}
	if i := slices.Index(names, region); i > 0 {
		return class(i)
	}
	longer := append(slices.Clone(names), region)
	t.regions.Store(&longer)
	return class(len(longer) - 1)
}

// put keeps the part's entries sorted by address, then by prefix length. Callers
// hold mu.
func (t *Table) put(id partID, added entry) {
	if t.blocks == nil {
		t.blocks = map[partID][]entry{}
	}
	entries := t.blocks[id]
	at, found := slices.BinarySearchFunc(entries, added, compareEntries)
	if found {
		entries[at] = added
		return
	}
	t.blocks[id] = slices.Insert(entries, at, added)
}

func compareEntries(a, b entry) int {
	return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
}

// rebuild replaces the part that readers see. Callers hold mu.
func (t *Table) rebuild(id partID) {
	entries := t.blocks[id]
	switch {
	case id.isWide && id.isV6:
		t.wide6.Store(flatten(entries, v6Range, sameKey))
	case id.isWide:
		t.wide4.Store(flatten(entries, v4Range, sameKey))
	case id.isV6:
		t.v6.parts[id.index].Store(flatten(entries, v6Range, sameKey))
	default:
		t.v4.parts[id.index].Store(flatten(entries, v4Range, narrowV4))
	}
}

// narrowV4 keeps the bits of an IPv4 key that a part does not imply.
func narrowV4(key uint64) uint16 { return uint16(key) }

// sameKey keeps a key as it is.
func sameKey(key uint64) uint64 { return key }

// flatten turns nested prefixes, sorted by compareEntries, into ranges. narrow
// gives the part's own key, which is 0 just past the last key of the part.
func flatten[K uint16 | uint64](entries []entry, rangeOf func(netip.Prefix) (first, last uint64), narrow func(uint64) K) *ranges[K] {
	flat := &ranges[K]{}
	type open struct {
		last  uint64
		class class
	}
	var stack []open
	emit := func(key uint64, c class) {
		k := narrow(key)
		if n := len(flat.keys); n > 0 && flat.keys[n-1] == k {
			flat.classes[n-1] = c
			return
		}
		flat.keys = append(flat.keys, k)
		flat.classes = append(flat.classes, c)
	}
	// closeBefore ends the open prefixes that lie before key.
	closeBefore := func(key uint64, isEnd bool) {
		for len(stack) > 0 && (isEnd || stack[len(stack)-1].last < key) {
			ended := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			outer := class(0)
			if len(stack) > 0 {
				outer = stack[len(stack)-1].class
			}
			if next := ended.last + 1; narrow(next) != 0 {
				emit(next, outer)
			}
		}
	}
	for _, e := range entries {
		first, last := rangeOf(e.prefix)
		closeBefore(first, false)
		emit(first, e.class)
		stack = append(stack, open{last: last, class: e.class})
	}
	closeBefore(0, true)
	flat.keys = slices.Clip(flat.keys)
	flat.classes = slices.Clip(flat.classes)
	return flat
}

func partOf(prefix netip.Prefix) partID {
	address := prefix.Addr()
	if address.Is4() {
		if prefix.Bits() < v4NarrowBits {
			return partID{isWide: true}
		}
		return partID{index: v4Key(address) >> partBits}
	}
	if prefix.Bits() < v6NarrowBits {
		return partID{isV6: true, isWide: true}
	}
	return partID{isV6: true, index: v6Part(v6Key(address))}
}

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

// v6Part spreads networks over parts by their upper 32 bits. Those bits are far
// from even, so they are multiplied first.
func v6Part(key uint64) uint32 {
	const oddMultiplier = 0x9e3779b1
	return (uint32(key>>32) * oddMultiplier) >> (32 - partBits)
}

func v4Range(prefix netip.Prefix) (first, last uint64) {
	first = uint64(v4Key(prefix.Addr()))
	return first, first | (1<<(32-prefix.Bits()) - 1)
}

func v6Range(prefix netip.Prefix) (first, last uint64) {
	first = v6Key(prefix.Addr())
	return first, first | (1<<(64-prefix.Bits()) - 1)
}
