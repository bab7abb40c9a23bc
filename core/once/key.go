package once

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Kind is the origin of a key and determines what it contains.
type Kind uint8

const (
	// Plain: arbitrary text chosen by the caller. Contains no further information.
	Plain Kind = iota
	// Dated: a version 7 UUID chosen by the caller. Contains its creation time.
	Dated
	// Issued: created by the system. Contains its home, the incarnation of the home's
	// process and its creation time.
	Issued
)

// MaxKeyLength is the maximum length of a key text in bytes.
const MaxKeyLength = 255

// Key is the idempotency key of one request of one workspace. Keys of two workspaces
// are never equal, so that no caller gets the response of another. The zero Key is
// invalid; use ParseKey or Issue.
type Key struct {
	Workspace fleet.Workspace
	Text      string
	Kind      Kind
	// Home and Incarnation are set for an Issued key.
	Home        fleet.InstanceID
	Incarnation Incarnation
	// CreatedAt is the creation time of the key with millisecond precision; zero for a
	// Plain key.
	CreatedAt time.Time
}

// Incarnation identifies one run of a process. Its text form has 16 hex digits.
type Incarnation uint64

// String returns the text form.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

const (
	hexDigits    = 16 // of the incarnation and of the random part
	issuedFields = 4
)

// Issue creates a key that only the current incarnation of home will run. made is the
// issuer's estimate of the time at home; random must be unique.
func Issue(workspace fleet.Workspace, home fleet.InstanceID, incarnation Incarnation, made time.Time, random uint64) Key {
	text := fmt.Sprintf("%s.%s.%d.%016x", home, incarnation, made.UnixMilli(), random)
	return Key{
		Workspace:   workspace,
		Text:        text,
		Kind:        Issued,
		Home:        home,
		Incarnation: incarnation,
		CreatedAt:   time.UnixMilli(made.UnixMilli()),
	}
}

// ParseKey parses a key sent by a caller. It returns failure.Invalid if the text is
// empty, too long or contains characters other than visible ASCII.
func ParseKey(workspace fleet.Workspace, text string) (Key, error) {
	if text == "" || len(text) > MaxKeyLength {
		return Key{}, failure.Invalid.New("idempotency key must have 1 to %d characters, has %d", MaxKeyLength, len(text))
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return Key{}, failure.Invalid.New("idempotency key %q: character %d is not visible ASCII", text, i+1)
		}
	}
	key := Key{Workspace: workspace, Text: text}
	key.readIssued()
	if key.Kind == Plain {
		key.readDated()
	}
	return key, nil
}

// readIssued sets the fields of an issued key if the text has that form. The ID of the
// home may contain dots, so the fields are counted from the end.
func (k *Key) readIssued() {
	fields := strings.Split(k.Text, ".")
	if len(fields) < issuedFields {
		return
	}
	home := strings.Join(fields[:len(fields)-issuedFields+1], ".")
	rest := fields[len(fields)-issuedFields+1:]
	incarnation, incarnationOK := readHex(rest[0])
	millis, err := strconv.ParseInt(rest[1], 10, 64)
	_, randomOK := readHex(rest[2])
	if home == "" || !incarnationOK || err != nil || millis <= 0 || !randomOK {
		return
	}
	k.Kind = Issued
	k.Home = fleet.InstanceID(home)
	k.Incarnation = Incarnation(incarnation)
	k.CreatedAt = time.UnixMilli(millis)
}

func readHex(text string) (uint64, bool) {
	if len(text) != hexDigits {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 16, 64)
	return value, err == nil
}

func (k *Key) readDated() {
	const version = 7
	id, err := uuid.Parse(k.Text)
	if err != nil || id.Version() != version {
		return
	}
	k.Kind = Dated
	k.CreatedAt = time.Unix(id.Time().UnixTime()).Truncate(time.Millisecond)
}

// id returns the key under which a register stores the record, unique across
// workspaces.
func (k Key) id() string { return string(k.Workspace) + "\x00" + k.Text }

// Home returns the only instance that may run the key: the one named by the key, or the
// member that ranks first for it. members are the listed servers of the service that
// are not leaving, whether they are reachable or not: an unreachable home may have run
// the key, so it stays the home until the platform removes it from the list. It returns
// false if there are no members.
func Home(key Key, members []fleet.InstanceID) (fleet.InstanceID, bool) {
	if key.Kind == Issued {
		return key.Home, true
	}
	if len(members) == 0 {
		return "", false
	}
	hash := xxhash.Sum64String(key.id())
	best := members[0]
	for _, member := range members[1:] {
		if outranks(hash, member, best) {
			best = member
		}
	}
	return best, true
}

// outranks reports whether a ranks before b for a key with the given hash.
func outranks(hash uint64, a, b fleet.InstanceID) bool {
	order := cmp.Or(
		cmp.Compare(rank(hash, a), rank(hash, b)),
		cmp.Compare(a, b),
	)
	return order > 0
}

func rank(hash uint64, member fleet.InstanceID) uint64 {
	digest := xxhash.NewWithSeed(hash)
	// Digest.WriteString never returns an error.
	_, _ = digest.WriteString(string(member))
	return digest.Sum64()
}
