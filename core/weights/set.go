package weights

import (
	"encoding/binary"
	"iter"
	"math/bits"

	"chivespindle.example/core/failure"
)

const (
	wordBits      = 64
	wordBytes     = wordBits / 8
	setHeaderSize = 4 // bytes of the length field before the words
)

// Set is a set of chunk indexes from 0 to Len-1 of one manifest, stored as a bitmap.
// Methods that take another Set require one of the same length. A Set is not safe for
// concurrent use; pass a Clone to other goroutines.
type Set struct {
	size  int
	count int
	words []uint64
}

// NewSet returns an empty set for a manifest of size chunks.
func NewSet(size int) *Set {
	return &Set{size: size, words: make([]uint64, (size+wordBits-1)/wordBits)}
}

// SetOf returns a set for size chunks that contains the given indexes.
func SetOf(size int, indexes ...int) *Set {
	s := NewSet(size)
	for _, index := range indexes {
		s.Add(index)
	}
	return s
}

// Len returns the number of chunks of the manifest, whether in the set or not.
func (s *Set) Len() int { return s.size }

// Count returns the number of chunks in the set.
func (s *Set) Count() int { return s.count }

// Full reports whether every chunk of the manifest is in the set.
func (s *Set) Full() bool { return s.count == s.size }

// Has reports whether index is in the set; false outside 0 to Len-1.
func (s *Set) Has(index int) bool {
	if index < 0 || index >= s.size {
		return false
	}
	return s.words[index/wordBits]&bit(index) != 0
}

// Add adds index to the set and reports whether it was not in it before. An index
// outside 0 to Len-1 is ignored, since peers send indexes.
func (s *Set) Add(index int) bool {
	if index < 0 || index >= s.size || s.Has(index) {
		return false
	}
	s.words[index/wordBits] |= bit(index)
	s.count++
	return true
}

// Remove removes index from the set and reports whether it was in it.
func (s *Set) Remove(index int) bool {
	if !s.Has(index) {
		return false
	}
	s.words[index/wordBits] &^= bit(index)
	s.count--
	return true
}

// Clone returns an independent copy of s.
func (s *Set) Clone() *Set {
	return &Set{size: s.size, count: s.count, words: append([]uint64(nil), s.words...)}
}

// Clear empties the set.
func (s *Set) Clear() {
	clear(s.words)
	s.count = 0
}

// Union adds the members of other.
func (s *Set) Union(other *Set) {
	s.count = 0
	for i, word := range other.words {
		s.words[i] |= word
		s.count += bits.OnesCount64(s.words[i])
	}
}

// Subtract removes the members of other.
func (s *Set) Subtract(other *Set) {
	s.count = 0
	for i, word := range other.words {
		s.words[i] &^= word
		s.count += bits.OnesCount64(s.words[i])
	}
}

// All yields the members in ascending order. The set may be modified during the
// iteration; changes within the current 64-bit word may be missed.
func (s *Set) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, word := range s.words {
			for ; word != 0; word &= word - 1 {
				if !yield(i*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}

// Difference yields the members of s that are not in other, in ascending order.
func (s *Set) Difference(other *Set) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, word := range s.words {
			for word &^= other.words[i]; word != 0; word &= word - 1 {
				if !yield(i*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}

// IntersectionCount returns the number of chunks that are in both sets.
func (s *Set) IntersectionCount(other *Set) int {
	count := 0
	for i, word := range s.words {
		count += bits.OnesCount64(word & other.words[i])
	}
	return count
}

// IntersectionNth returns the n-th chunk, counted from 0 in ascending order, of those
// in both sets; -1 if there are not so many.
func (s *Set) IntersectionNth(other *Set, n int) int {
	for i, word := range s.words {
		word &= other.words[i]
		ones := bits.OnesCount64(word)
		if n >= ones {
			n -= ones
			continue
		}
		for ; n > 0; n-- {
			word &= word - 1
		}
		return i*wordBits + bits.TrailingZeros64(word)
	}
	return -1
}

// MarshalBinary returns the encoding that peers send: the length as four bytes, then
// the bitmap in 64-bit words, all big-endian. It never fails.
func (s *Set) MarshalBinary() ([]byte, error) {
	raw := make([]byte, 0, setHeaderSize+len(s.words)*wordBytes)
	raw = binary.BigEndian.AppendUint32(raw, uint32(s.size))
	for _, word := range s.words {
		raw = binary.BigEndian.AppendUint64(raw, word)
	}
	return raw, nil
}

// UnmarshalBinary decodes the encoding of MarshalBinary and returns failure.Corrupt if
// raw is malformed. The caller checks Len against its manifest.
func (s *Set) UnmarshalBinary(raw []byte) error {
	if len(raw) < setHeaderSize {
		return failure.Corrupt.New("chunk set has %d bytes, want at least %d", len(raw), setHeaderSize)
	}
	size := binary.BigEndian.Uint32(raw)
	if size > MaxChunks {
		return failure.Corrupt.New("chunk set is for %d chunks, want at most %d", size, MaxChunks)
	}
	read := NewSet(int(size))
	raw = raw[setHeaderSize:]
	if len(raw) != len(read.words)*wordBytes {
		return failure.Corrupt.New("chunk set for %d chunks has %d bytes of bitmap", size, len(raw))
	}
	for i := range read.words {
		read.words[i] = binary.BigEndian.Uint64(raw[i*wordBytes:])
		read.count += bits.OnesCount64(read.words[i])
	}
	if used := size % wordBits; used != 0 && read.words[len(read.words)-1]>>used != 0 {
		return failure.Corrupt.New("chunk set for %d chunks holds a chunk beyond them", size)
	}
	*s = *read
	return nil
}

func bit(index int) uint64 { return 1 << (index % wordBits) }
