package keys_test

import (
	"crypto/x509"
	"encoding/pem"
	"net/url"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

func must[T any](value T, err error) T {
	ginkgo.GinkgoHelper()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

// damage replaces or damages valid files and returns the files to load and the
// path that the failure must name.
type damage func(dir string, own *pki.Authority, good keys.Files) (keys.Files, string)

func withTemplate(t pki.Template) damage {
	return func(dir string, own *pki.Authority, good keys.Files) (keys.Files, string) {
		if t.Identity.ID == "" {
			t.Identity = keys.Identity{ID: "e1", Role: fleet.RoleEntry}
		}
		files := must(own.WriteTemplate(dir, t))
		return files, files.Certificate
	}
}

func overwrite(pick func(*keys.Files) *string, text string) damage {
	return func(_ string, _ *pki.Authority, good keys.Files) (keys.Files, string) {
		path := *pick(&good)
		gomega.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return good, path
	}
}

func remove(pick func(*keys.Files) *string) damage {
	return func(_ string, _ *pki.Authority, good keys.Files) (keys.Files, string) {
		path := *pick(&good)
		gomega.Expect(os.Remove(path)).To(gomega.Succeed())
		return good, path
	}
}

func authorityFile(f *keys.Files) *string   { return &f.Authority }
func certificateFile(f *keys.Files) *string { return &f.Certificate }
func keyFile(f *keys.Files) *string         { return &f.Key }

func withOtherKey(dir string, own *pki.Authority, good keys.Files) (keys.Files, string) {
	good.Key = must(own.WriteFiles(dir, fleet.RoleEntry, "e2")).Key
	return good, good.Key
}

func withOtherAuthority(string, *pki.Authority, keys.Files) (keys.Files, string) {
	dir := ginkgo.GinkgoT().TempDir()
	files := must(must(pki.NewAuthority()).WriteFiles(dir, fleet.RoleEntry, "e1"))
	other := must(pki.NewAuthority())
	gomega.Expect(other.Save(dir)).To(gomega.Succeed())
	return files, files.Certificate
}

func uriTemplate(texts ...string) pki.Template {
	t := pki.Template{URIs: []*url.URL{}}
	for _, text := range texts {
		parsed, err := url.Parse(text)
		if err != nil {
			panic(err)
		}
		t.URIs = append(t.URIs, parsed)
	}
	return t
}

var _ = ginkgo.Describe("Load and Reload", func() {
	ginkgo.DescribeTable("name the file and the reason", func(do damage, want *errorx.Type, reason string) {
		dir := ginkgo.GinkgoT().TempDir()
		own := must(pki.NewAuthority())
		good := must(own.WriteFiles(dir, fleet.RoleEntry, "e1"))
		store := must(keys.Load(good))
		bad, path := do(dir, own, good)

		_, err := keys.Load(bad)
		gomega.Expect(errorx.IsOfType(err, want)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring(path), gomega.ContainSubstring(reason))))
		if bad != good {
			return
		}
		gomega.Expect(errorx.IsOfType(store.Reload(), want)).To(gomega.BeTrue())
		gomega.Expect(store.Generation()).To(gomega.BeEquivalentTo(1))
		gomega.Expect(store.Identity()).To(gomega.Equal(keys.Identity{ID: "e1", Role: fleet.RoleEntry}))
	},
		ginkgo.Entry("no authority", remove(authorityFile), keys.FileMissing, "no such file"),
		ginkgo.Entry("no certificate", remove(certificateFile), keys.FileMissing, "no such file"),
		ginkgo.Entry("no key", remove(keyFile), keys.FileMissing, "no such file"),
		ginkgo.Entry("broken authority", overwrite(authorityFile, "x"), keys.FileUnreadable, "no PEM certificate"),
		ginkgo.Entry("broken certificate", overwrite(certificateFile, "x"), keys.FileUnreadable, "no PEM certificate"),
		ginkgo.Entry("broken key", overwrite(keyFile, "x"), keys.FileUnreadable, "no PEM private key"),
		ginkgo.Entry("expired", withTemplate(pki.Template{NotAfter: time.Now().Add(-time.Minute)}), keys.Expired, "valid from"),
		ginkgo.Entry("not valid yet", withTemplate(pki.Template{NotBefore: time.Now().Add(time.Hour)}), keys.Expired, "valid from"),
		ginkgo.Entry("another key", damage(withOtherKey), keys.KeyMismatch, "not the key of"),
		ginkgo.Entry("another authority", damage(withOtherAuthority), keys.NotSigned, "not signed by the authority"),
		ginkgo.Entry("no role", withTemplate(uriTemplate()), keys.RoleMissing, "it carries 0"),
		ginkgo.Entry("two roles", withTemplate(uriTemplate("urn:chivespindle:entry:a", "urn:chivespindle:agent:a")), keys.RoleMissing, "it carries 2"),
		ginkgo.Entry("unknown role", withTemplate(uriTemplate("urn:chivespindle:king:a")), keys.RoleMissing, `unknown role "king"`),
		ginkgo.Entry("no id", withTemplate(uriTemplate("urn:chivespindle:entry")), keys.RoleMissing, `malformed instance id ""`),
		ginkgo.Entry("bad id", withTemplate(uriTemplate("urn:chivespindle:entry:a%20b")), keys.RoleMissing, "malformed instance id"),
	)

	ginkgo.It("refuse another identity, and accept a new certificate of the same one", func() {
		dir := ginkgo.GinkgoT().TempDir()
		files := must(must(pki.NewAuthority()).WriteFiles(dir, fleet.RoleEntry, "e1"))
		store := must(keys.Load(files))
		secret := store.Secret("a")
		gomega.Expect(must(keys.Load(files)).Secret("a")).To(gomega.Equal(secret))
		gomega.Expect(store.Secret("b")).NotTo(gomega.Equal(secret))

		other := must(must(pki.NewAuthority()).WriteFiles(ginkgo.GinkgoT().TempDir(), fleet.RoleEntry, "e2"))
		for from, to := range map[string]string{other.Authority: files.Authority, other.Certificate: files.Certificate, other.Key: files.Key} {
			gomega.Expect(os.WriteFile(to, must(os.ReadFile(from)), 0o600)).To(gomega.Succeed())
		}
		gomega.Expect(errorx.IsOfType(store.Reload(), keys.IdentityChanged)).To(gomega.BeTrue())

		next := must(pki.NewAuthority())
		must(next.WriteFiles(dir, fleet.RoleEntry, "e1"))
		gomega.Expect(store.Reload()).To(gomega.Succeed())
		gomega.Expect(store.Generation()).To(gomega.BeEquivalentTo(2))

		// A process checks its files every half minute. If each check started a
		// new generation, every connection would be replaced as often.
		gomega.Expect(store.Reload()).To(gomega.Succeed())
		gomega.Expect(store.Generation()).To(gomega.BeEquivalentTo(2))
		gomega.Expect(store.Check(parseIssued(next.Issue(fleet.RoleAgent, "a1")))).To(gomega.Succeed())
	})

	ginkgo.It("accept several authorities, so that one can replace the other without downtime", func() {
		oldAuthority, next := must(pki.NewAuthority()), must(pki.NewAuthority())
		files := must(oldAuthority.WriteFiles(ginkgo.GinkgoT().TempDir(), fleet.RoleEntry, "e1"))
		gomega.Expect(os.WriteFile(files.Authority, append(oldAuthority.PEM(), next.PEM()...), 0o600)).To(gomega.Succeed())
		store := must(keys.Load(files))
		gomega.Expect(store.Check(parseIssued(oldAuthority.Issue(fleet.RoleAgent, "a1")))).To(gomega.Succeed())
		gomega.Expect(store.Check(parseIssued(next.Issue(fleet.RoleAgent, "a1")))).To(gomega.Succeed())
		untrusted := parseIssued(must(pki.NewAuthority()).Issue(fleet.RoleAgent, "a1"))
		gomega.Expect(errorx.IsOfType(store.Check(untrusted), keys.PeerRefused)).To(gomega.BeTrue())
		gomega.Expect(errorx.IsOfType(store.Check(nil), keys.PeerRefused)).To(gomega.BeTrue())
	})
})

func parseIssued(certPEM, _ []byte, err error) []*x509.Certificate {
	ginkgo.GinkgoHelper()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	block, _ := pem.Decode(certPEM)
	return []*x509.Certificate{must(x509.ParseCertificate(block.Bytes))}
}
