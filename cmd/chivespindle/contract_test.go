package main

import (
	"encoding/json"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/status"
)

// An operator sees zeros where a process sent numbers, because a field is not
// written, or not read back. Processes and client share the types, so each
// field is set, and each must come out with the same value. That no field was
// renamed since an earlier release is checked on recorded pages by the tests of
// adapters/opsclient.
var _ = DescribeTable("The client reads what the daemon sends",
	func(sent, read any) {
		fill(reflect.ValueOf(sent).Elem())
		page, err := json.Marshal(sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(page, read)).To(Succeed())
		again, err := json.Marshal(read)
		Expect(err).NotTo(HaveOccurred())
		var want, have any
		Expect(json.Unmarshal(page, &want)).To(Succeed())
		Expect(json.Unmarshal(again, &have)).To(Succeed())
		expectWithin("", have, want)
		expectSet("", reflect.ValueOf(read).Elem())
	},
	Entry("status of an entry", &status.Entry{}, &status.Entry{}),
	Entry("status of an agent", &status.Agent{}, &status.Agent{}),
	Entry("explanation", &status.Explanation{}, &status.Explanation{}),
)

// fill sets every field to something that is not zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.String:
		v.SetString("word")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	default:
		v.Set(reflect.ValueOf(7).Convert(v.Type()))
	}
}

// expectWithin checks that have holds nothing that want does not.
func expectWithin(path string, have, want any) {
	GinkgoHelper()
	switch h := have.(type) {
	case map[string]any:
		Expect(want).To(BeAssignableToTypeOf(h), path)
		for key := range h {
			Expect(want).To(HaveKey(key), path)
			expectWithin(path+"."+key, h[key], want.(map[string]any)[key])
		}
	case []any:
		Expect(want).To(HaveLen(len(h)), path)
		for i := range h {
			expectWithin(path+"[]", h[i], want.([]any)[i])
		}
	default:
		Expect(have).To(Equal(want), path)
	}
}

// expectSet checks that no field is zero.
func expectSet(path string, v reflect.Value) {
	GinkgoHelper()
	Expect(v.IsZero()).To(BeFalse(), "%s is zero", path)
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			expectSet(path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		expectSet(path+"[]", v.Index(0))
	}
}
