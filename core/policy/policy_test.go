package policy_test

import (
	"reflect"
	"testing"

	"chivespindle.example/core/policy"
)

func TestEveryFieldHasOneMechanism(t *testing.T) {
	var off policy.Disabled
	for _, m := range policy.Mechanisms() {
		if !off.Set(m.Name, true) {
			t.Errorf("%s cannot be disabled", m.Name)
		}
	}
	all := reflect.ValueOf(off)
	for i := range all.NumField() {
		if !all.Field(i).Bool() {
			t.Errorf("%s has no mechanism", all.Type().Field(i).Name)
		}
	}
	if len(off.Names()) != all.NumField() {
		t.Errorf("%d names for %d fields", len(off.Names()), all.NumField())
	}
	if off.Set("no_such", true) {
		t.Error("an unknown name was accepted")
	}
}
