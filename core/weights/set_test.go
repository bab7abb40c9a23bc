package weights_test

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/weights"
)

// drawSet returns a random set for size chunks and its members as a map.
func drawSet(t *rapid.T, size int, label string) (*weights.Set, map[int]bool) {
	set, model := weights.NewSet(size), map[int]bool{}
	for _, index := range rapid.SliceOf(rapid.IntRange(-2, size+1)).Draw(t, label) {
		inside := index >= 0 && index < size
		if set.Add(index) != (inside && !model[index]) {
			t.Fatalf("Add(%d) returned the wrong value", index)
		}
		if inside {
			model[index] = true
		}
	}
	return set, model
}

func sorted(model map[int]bool) []int {
	var members []int
	for index := range model {
		members = append(members, index)
	}
	slices.Sort(members)
	return members
}

// expectMembers checks every accessor of a set against the expected members.
func expectMembers(t *rapid.T, set *weights.Set, model map[int]bool) {
	members := sorted(model)
	if got := slices.Collect(set.All()); !slices.Equal(got, members) {
		t.Fatalf("members %v, want %v", got, members)
	}
	if set.Count() != len(members) || set.Full() != (len(members) == set.Len()) {
		t.Fatalf("count %d, full %t, want %d of %d", set.Count(), set.Full(), len(members), set.Len())
	}
	for index := -1; index <= set.Len(); index++ {
		if set.Has(index) != model[index] {
			t.Fatalf("Has(%d) is %t", index, set.Has(index))
		}
	}
}

func TestSetOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 200).Draw(t, "size")
		a, inA := drawSet(t, size, "a")
		b, inB := drawSet(t, size, "b")
		expectMembers(t, a, inA)
		both, minus, union := map[int]bool{}, map[int]bool{}, map[int]bool{}
		for index := range size {
			if inA[index] && inB[index] {
				both[index] = true
			}
			if inA[index] && !inB[index] {
				minus[index] = true
			}
			if inA[index] || inB[index] {
				union[index] = true
			}
		}
		if got := slices.Collect(a.Difference(b)); !slices.Equal(got, sorted(minus)) {
			t.Fatalf("Difference %v, want %v", got, sorted(minus))
		}
		if got := a.IntersectionCount(b); got != len(both) {
			t.Fatalf("IntersectionCount %d, want %d", got, len(both))
		}
		for n, want := range append(sorted(both), -1) {
			if got := a.IntersectionNth(b, n); got != want {
				t.Fatalf("IntersectionNth(%d) %d, want %d", n, got, want)
			}
		}
		joined, rest := a.Clone(), a.Clone()
		joined.Union(b)
		expectMembers(t, joined, union)
		rest.Subtract(b)
		expectMembers(t, rest, minus)
		for _, index := range sorted(inA) {
			if !a.Remove(index) || a.Remove(index) {
				t.Fatalf("Remove(%d) returned the wrong value", index)
			}
		}
		expectMembers(t, a, nil)
		joined.Clear()
		expectMembers(t, joined, nil)
	})
}

func TestSetRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, model := drawSet(t, rapid.IntRange(0, 200).Draw(t, "size"), "members")
		raw, err := set.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		var back weights.Set
		if err := back.UnmarshalBinary(raw); err != nil {
			t.Fatal(err)
		}
		expectMembers(t, &back, model)
	})
}

// A peer of another version or with a fault sends a malformed set. It is rejected
// before memory is allocated for it, and never interpreted as chunks.
func TestSetRejectsMalformedInput(t *testing.T) {
	size := func(n uint32, bitmap ...byte) []byte { return append(binary.BigEndian.AppendUint32(nil, n), bitmap...) }
	for name, raw := range map[string][]byte{
		"empty":                 nil,
		"short header":          {0, 0, 1},
		"too many chunks":       size(weights.MaxChunks + 1),
		"bitmap missing":        size(1),
		"bitmap too long":       size(1, make([]byte, 16)...),
		"chunk out of range":    size(2, 0, 0, 0, 0, 0, 0, 0, 4),
		"bitmap without chunks": size(0, make([]byte, 8)...),
	} {
		t.Run(name, func(t *testing.T) {
			set := weights.SetOf(3, 1)
			err := set.UnmarshalBinary(raw)
			g := gomega.NewWithT(t)
			g.Expect(errorx.IsOfType(err, failure.Corrupt)).To(gomega.BeTrue(), "%v", err)
			g.Expect(set).To(gomega.Equal(weights.SetOf(3, 1)), "unchanged")
		})
	}
}

func FuzzSetUnmarshalBinary(f *testing.F) {
	raw, _ := weights.SetOf(70, 0, 64, 69).MarshalBinary()
	f.Add(raw)
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var set weights.Set
		if set.UnmarshalBinary(raw) != nil {
			return
		}
		again, err := set.MarshalBinary()
		if err != nil || !bytes.Equal(raw, again) {
			t.Fatalf("%x decodes and encodes as %x, %v", raw, again, err)
		}
	})
}
