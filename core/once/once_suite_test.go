package once_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Once")
}

const (
	keep            = 100 * time.Second
	maxListAge      = 10 * time.Second
	listLag         = 10 * time.Second
	maxKeys         = 3
	clockSkew       = 2 * time.Second
	settle          = listLag + maxListAge + 2*clockSkew
	testIncarnation = once.Incarnation(0x11)
)

var start = time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)

// optionsOf returns options with limits small enough that tests reach each of them.
func optionsOf(self fleet.InstanceID, incarnation once.Incarnation) once.Options {
	return once.Options{
		Self:        self,
		Incarnation: incarnation,
		MaxKeys:     maxKeys,
		Keep:        keep,
		MaxBody:     8,
		MaxBytes:    12,
		MaxListAge:  maxListAge,
		ListLag:     listLag,
		ClockSkew:   clockSkew,
	}
}

func bodyOf(text string) fleet.Digest { return fleet.DigestOf([]byte(text)) }

func issuedKey(n uint64, made time.Time) once.Key {
	return once.Issue("workshop-7", "s0", testIncarnation, made, n)
}

func plainKey(text string) once.Key {
	key, err := once.ParseKey("workshop-7", text)
	if err != nil {
		panic(err)
	}
	return key
}

// datedKey returns a key of a caller created at the given time, number n of that
// millisecond.
func datedKey(made time.Time, n uint8) once.Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	millis := made.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	return plainKey(id.String())
}

// keyOfHome returns a plain key whose home among members is home.
func keyOfHome(home fleet.InstanceID, members ...fleet.InstanceID) once.Key {
	for i := 0; ; i++ {
		key := plainKey(fmt.Sprintf("job-card-%d", i))
		if found, _ := once.Home(key, members); found == home {
			return key
		}
	}
}

// datedKeyOfHome returns a dated key whose home among members is home.
func datedKeyOfHome(made time.Time, home fleet.InstanceID, members ...fleet.InstanceID) once.Key {
	for n := uint8(0); ; n++ {
		key := datedKey(made, n)
		if found, _ := once.Home(key, members); found == home {
			return key
		}
	}
}
