package main

import (
	"encoding/json"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/status"
)

// Guards against fields that are not encoded or not decoded, so that an
// operator sees zeros where a process sent numbers. Processes and client share
// the types, so each field is set, and each must come out with the same value.
// Tests of adapters/opsclient check on recorded pages that no field has been
// renamed since an earlier release.
var _ = DescribeTable("The client reads what the daemon sends",
	func(sent, read any) {
		fill(reflect.ValueOf(sent).Elem())
		encoded, err := json.Marshal(sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(encoded, read)).To(Succeed())
		reencoded, err := json.Marshal(read)
		Expect(err).NotTo(HaveOccurred())
		var sentFields, readFields any
		Expect(json.Unmarshal(encoded, &sentFields)).To(Succeed())
		Expect(json.Unmarshal(reencoded, &readFields)).To(Succeed())
		expectSubset("", readFields, sentFields)
		expectNoZeroFields("", reflect.ValueOf(read).Elem())
	},
	Entry("status of an entry", &status.Entry{}, &status.Entry{}),
	Entry("status of an agent", &status.Agent{}, &status.Agent{}),
	Entry("explanation", &status.Explanation{}, &status.Explanation{}),
)

// fill sets every field to a value that is not zero.
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

// expectSubset checks that have holds nothing that want does not.
func expectSubset(path string, have, want any) {
	GinkgoHelper()
	switch h := have.(type) {
	case map[string]any:
		Expect(want).To(BeAssignableToTypeOf(h), path)
		for key := range h {
			Expect(want).To(HaveKey(key), path)
			expectSubset(path+"."+key, h[key], want.(map[string]any)[key])
		}
	case []any:
		Expect(want).To(HaveLen(len(h)), path)
		for i := range h {
			expectSubset(path+"[]", h[i], want.([]any)[i])
		}
	default:
		Expect(have).To(Equal(want), path)
	}
}

// expectNoZeroFields checks that no field is zero.
func expectNoZeroFields(path string, v reflect.Value) {
	GinkgoHelper()
	Expect(v.IsZero()).To(BeFalse(), "%s is zero", path)
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			expectNoZeroFields(path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		expectNoZeroFields(path+"[]", v.Index(0))
	}
}
