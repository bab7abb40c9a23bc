package quarantine

import (
	"encoding/hex"
	"slices"
	"strings"

	"github.com/zeebo/blake3"
)

const (
	// MaxParts bounds the parts of a request that are considered.
	MaxParts = 32
	// maxPartID is the longest ID of a part, in bytes, that is used as it is. Longer ones
	// are replaced by a digest, which bounds messages and log lines.
	maxPartID = 32
)

// Part identifies a part of prompts that several requests share, for one model: the same
// text is read as other tokens by other models.
type Part string

// NewParts returns the parts of a request to a model, given the IDs of the parts of its
// prompt that other requests may share.
func NewParts(model string, ids []string) []Part {
	var parts []Part
	for _, id := range ids {
		id = strings.ToLower(id)
		if len(id) > maxPartID {
			digest := blake3.Sum256([]byte(id))
			id = hex.EncodeToString(digest[:maxPartID/2])
		}
		if p := Part(model + "/" + id); !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
		if len(parts) == MaxParts {
			break
		}
	}
	return parts
}
