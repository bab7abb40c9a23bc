// Package plain has one red test for the tests of testrun.
package plain

import "testing"

func TestGreen(*testing.T) {}

func TestRed(t *testing.T) { t.Error("red") }

func TestRedder(*testing.T) {}
