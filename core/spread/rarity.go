package spread

import "chivespindle.example/core/weights"

// rarity groups chunks by the number of usable peers that hold them. Each number has a
// bitmap, so that the rarest eligible chunk is found by word operations instead of a
// scan of all chunks.
type rarity struct {
	holders []uint16
	// byHolders[n] is the set of chunks that exactly n peers hold.
	byHolders []*weights.Set
}

func newRarity(chunks int) rarity {
	r := rarity{holders: make([]uint16, chunks), byHolders: []*weights.Set{weights.NewSet(chunks)}}
	for chunk := range chunks {
		r.byHolders[0].Add(chunk)
	}
	return r
}

func (r *rarity) add(chunk int) { r.move(chunk, 1) }

func (r *rarity) remove(chunk int) { r.move(chunk, -1) }

func (r *rarity) move(chunk, by int) {
	before := int(r.holders[chunk])
	after := before + by
	if after == len(r.byHolders) {
		r.byHolders = append(r.byHolders, weights.NewSet(len(r.holders)))
	}
	r.byHolders[before].Remove(chunk)
	r.byHolders[after].Add(chunk)
	r.holders[chunk] = uint16(after)
}

// held reports whether any usable peer holds the chunk.
func (r *rarity) held(chunk int) bool { return r.holders[chunk] > 0 }
