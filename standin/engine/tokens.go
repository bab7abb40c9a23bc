package engine

import (
	"encoding/binary"
	"encoding/hex"

	"chivespindle.example/core/fleet"
)

// tokenBytes is the part of a digest that makes one token.
const tokenBytes = 4

// ExpectedTokens returns the whole answer to a prompt by a version, so that a
// caller can check that it got the answer to its own request, whole and from
// one version.
func ExpectedTokens(prompt string, maxTokens int, version fleet.Version) []string {
	s := newSampler(prompt, version)
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = s.token(i)
	}
	return tokens
}

// sampler computes tokens in place of a model.
type sampler struct {
	seed fleet.Digest
}

func newSampler(prompt string, version fleet.Version) sampler {
	input := make([]byte, 0, len(version.Name)+1+fleet.DigestSize+len(prompt))
	input = append(input, version.Name...)
	input = append(input, 0)
	input = append(input, version.Manifest[:]...)
	input = append(input, prompt...)
	return sampler{seed: fleet.DigestOf(input)}
}

func (s sampler) token(seq int) string {
	input := binary.BigEndian.AppendUint64(s.seed[:], uint64(seq))
	digest := fleet.DigestOf(input)
	return hex.EncodeToString(digest[:tokenBytes])
}
