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

// Kind says who made a key and what it tells.
type Kind uint8

const (
	// Plain: any text of the caller's own. Tells nothing.
	Plain Kind = iota
	// Dated: a version 7 UUID of the caller's own. Tells when it was made.
	Dated
	// Issued: made by the system. Tells its home, the life of the home's
	// process and when it was made.
	Issued
)

// MaxKeyLength is the longest key text in bytes.
const MaxKeyLength = 255

// Key names one piece of work of one workspace. Keys of two workspaces are
// never equal, so that no caller gets another's answer. The zero Key is
// invalid; use ParseKey or Issue.
type Key struct {
	Workspace fleet.Workspace
	Text      string
	Kind      Kind
	// Home and Incarnation are set for an Issued key.
	Home        fleet.InstanceID
	Incarnation Incarnation
	// Made is when the key was made, to the millisecond; zero for a Plain key.
	Made time.Time
}

// Incarnation names one life of a process. Its text is 16 hex digits.
type Incarnation uint64

// String returns the text form.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

const (
	hexDigits    = 16 // of an incarnation and of the random part
	issuedFields = 4
)

// Issue makes a key that only home in its present life will run. made is the
// time at home as far as the issuer knows it; random must not repeat.
func Issue(workspace fleet.Workspace, home fleet.InstanceID, life Incarnation, made time.Time, random uint64) Key {
	text := fmt.Sprintf("%s.%s.%d.%016x", home, life, made.UnixMilli(), random)
	return Key{
		Workspace:   workspace,
		Text:        text,
		Kind:        Issued,
		Home:        home,
		Incarnation: life,
		Made:        time.UnixMilli(made.UnixMilli()),
	}
}

// ParseKey reads a key as a caller sent it. It fails with failure.Invalid if
// the text is empty, too long or not of visible ASCII characters.
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

// readIssued fills in the fields if the text has the issued form. The home's
// id may hold dots, so the fields are taken from the end.
func (k *Key) readIssued() {
	fields := strings.Split(k.Text, ".")
	if len(fields) < issuedFields {
		return
	}
	home := strings.Join(fields[:len(fields)-issuedFields+1], ".")
	rest := fields[len(fields)-issuedFields+1:]
	life, lifeOK := readHex(rest[0])
	millis, err := strconv.ParseInt(rest[1], 10, 64)
	_, randomOK := readHex(rest[2])
	if home == "" || !lifeOK || err != nil || millis <= 0 || !randomOK {
		return
	}
	k.Kind = Issued
	k.Home = fleet.InstanceID(home)
	k.Incarnation = Incarnation(life)
	k.Made = time.UnixMilli(millis)
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
	k.Made = time.Unix(id.Time().UnixTime()).Truncate(time.Millisecond)
}

// id is the key's name in a register.
func (k Key) id() string { return string(k.Workspace) + "\x00" + k.Text }

// Home returns the instance that alone may run the key: the one it names, or
// the one of members that ranks first for it. members are the listed servers
// of the service that are not leaving, whether they are heard of or not: a
// silent home may have run the key, so it stays the home until the platform
// takes it off the list. False if there are no members.
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

// outranks reports whether a comes before b for a key of the given hash.
func outranks(hash uint64, a, b fleet.InstanceID) bool {
	order := cmp.Or(
		cmp.Compare(rank(hash, a), rank(hash, b)),
		cmp.Compare(a, b),
	)
	return order > 0
}

func rank(hash uint64, member fleet.InstanceID) uint64 {
	digest := xxhash.NewWithSeed(hash)
	// A Digest never fails to write.
	_, _ = digest.WriteString(string(member))
	return digest.Sum64()
}
