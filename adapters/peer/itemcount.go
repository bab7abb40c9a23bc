package peer

import (
	"encoding/binary"
)

// Limits on the data items of one message. Without them, a message of 1 MiB decodes to
// more than 100 MB: an empty map takes one byte of the message and up to containerBytes
// once it is decoded into an element of a slice.
const (
	// maxItems and maxContainers bound all items, and the arrays and maps among them. The
	// largest heartbeat of a fleet of 410 entries and 3,500 agents has some 16,000 arrays
	// and maps.
	maxItems      = 1 << 18
	maxContainers = 1 << 15
	// containerBytes is the size to which an array or map may decode.
	containerBytes = 256
)

// CBOR major types and the additional information of a head, RFC 8949.
const (
	majorBytes  = 2
	majorText   = 3
	majorArray  = 4
	majorMap    = 5
	majorShift  = 5
	infoMask    = 1<<majorShift - 1
	infoOneByte = 24
	infoEnd     = 28 // from here on no argument follows
)

// countContainers returns the number of arrays and maps of an encoded message. The failure
// is TooLarge if it has too many items. What is not well-formed is left to the decoder.
func countContainers(encoded []byte) (int, error) {
	items, containers := 0, 0
	for rest := encoded; len(rest) > 0; {
		major, argument, n := readHead(rest)
		if n > len(rest) {
			break
		}
		rest = rest[n:]
		items++
		switch major {
		case majorBytes, majorText:
			rest = rest[min(argument, uint64(len(rest))):]
		case majorArray, majorMap:
			containers++
		}
		if items > maxItems || containers > maxContainers {
			return 0, TooLarge.New("message of %d bytes has over %d items, or over %d arrays and maps", len(encoded), maxItems, maxContainers)
		}
	}
	return containers, nil
}

// readHead returns the major type and the argument of the data item that begins with p, and
// the length of its head, which exceeds p if the head is truncated.
func readHead(p []byte) (major byte, argument uint64, length int) {
	major, info := p[0]>>majorShift, p[0]&infoMask
	if info < infoOneByte {
		return major, uint64(info), 1
	}
	if info >= infoEnd {
		return major, 0, 1
	}
	size := 1 << (info - infoOneByte)
	if len(p) <= size {
		return major, 0, 1 + size
	}
	var padded [8]byte
	copy(padded[len(padded)-size:], p[1:1+size])
	return major, binary.BigEndian.Uint64(padded[:]), 1 + size
}
