package main

import (
	"bytes"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/core/fleet"
)

func run(args ...string) (string, error) {
	var out bytes.Buffer
	command := newCommand()
	command.SetOut(&out)
	command.SetArgs(args)
	err := command.Execute()
	return out.String(), err
}

var _ = ginkgo.Describe("pki", func() {
	ginkgo.It("writes files that the daemons can load, with one authority for several calls", func() {
		dir := ginkgo.GinkgoT().TempDir()
		_, err := run("--dir", dir, "init")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for role, id := range map[string]string{"entry": "e1", "agent": "a1", "operator": "o1"} {
			out, err := run("--dir", dir, "issue", "--role", role, id)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(out).To(gomega.HavePrefix("role=" + role + " id=" + id + " authority="))
			store, err := keys.Load(keys.Files{
				Authority:   filepath.Join(dir, "authority.pem"),
				Certificate: filepath.Join(dir, role+"-"+id+".pem"),
				Key:         filepath.Join(dir, role+"-"+id+"-key.pem"),
			})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(store.Identity()).To(gomega.Equal(keys.Identity{ID: fleet.InstanceID(id), Role: fleet.Role(role)}))
		}
	})

	ginkgo.DescribeTable("refuses", func(text string, args ...string) {
		dir := ginkgo.GinkgoT().TempDir()
		_, err := run("--dir", dir, "init")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = run(append([]string{"--dir", dir}, args...)...)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
	},
		ginkgo.Entry("an unknown role", `unknown role "king"`, "issue", "--role", "king", "x"),
		ginkgo.Entry("a malformed id", "malformed instance id", "issue", "a b"),
		ginkgo.Entry("no id", "requires at least 1 arg", "issue"),
		ginkgo.Entry("a directory without an authority", "read the authority", "issue", "--dir", "/nonexistent", "x"),
	)
})
