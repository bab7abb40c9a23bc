package engine

import (
	"encoding/binary"
	"encoding/hex"

	"chivespindle.example/core/fleet"
)

// tokenBytes is the number of digest bytes in one token.
const tokenBytes = 4

// ExpectedTokens returns all tokens of the response of a version to a prompt,
// so that a caller can check that a response belongs to its own request, is
// complete and comes from one version.
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
