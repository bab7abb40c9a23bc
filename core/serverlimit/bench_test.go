package serverlimit_test

import (
	"fmt"
	"testing"

	"chivespindle.example/core/serverlimit"
)

func BenchmarkShare(b *testing.B) {
	for _, size := range []int{8, 100, 410} {
		ids := entryIDs(size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				serverlimit.Share(1, server, ids[0], ids[1:])
			}
		})
	}
}
