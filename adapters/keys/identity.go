package keys

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"

	"chivespindle.example/core/fleet"
)

// identityPrefix is the prefix of the URI subject alternative name that
// contains an identity: urn:chivespindle:<role>:<id>.
const identityPrefix = "urn:chivespindle:"

// idPattern restricts instance IDs, so that they need no escaping in a log
// line, a file name or a URI.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:~-]{0,127}$`)

// Identity is the identity of a process, as stated by its certificate.
type Identity struct {
	ID   fleet.InstanceID
	Role fleet.Role
}

// String returns "role:id".
func (i Identity) String() string { return string(i.Role) + ":" + string(i.ID) }

// URI returns the URI subject alternative name for this identity. The failure
// is RoleMissing when the role or the ID is not one that IdentityOf would
// accept.
func (i Identity) URI() (*url.URL, error) {
	uri := &url.URL{Scheme: "urn", Opaque: "chivespindle:" + i.String()}
	if _, err := parseURI(uri); err != nil {
		return nil, err
	}
	return uri, nil
}

// IdentityOf reads the identity from a certificate's URI names. A certificate
// that has none, or more than one, has no identity: with two, a reader that
// uses the first and one that uses the last would disagree on the peer's
// identity. The failure is RoleMissing.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	var found []*url.URL
	for _, uri := range cert.URIs {
		if strings.HasPrefix(uri.String(), identityPrefix) {
			found = append(found, uri)
		}
	}
	if len(found) != 1 {
		return Identity{}, RoleMissing.New("certificate must carry one name %s<role>:<id>, it carries %d", identityPrefix, len(found))
	}
	return parseURI(found[0])
}

func parseURI(uri *url.URL) (Identity, error) {
	text := strings.TrimPrefix(uri.String(), identityPrefix)
	role, id, _ := strings.Cut(text, ":")
	switch fleet.Role(role) {
	case fleet.RoleEntry, fleet.RoleAgent, fleet.RoleOperator:
	default:
		return Identity{}, RoleMissing.New("certificate names the unknown role %q", role)
	}
	if !idPattern.MatchString(id) {
		return Identity{}, RoleMissing.New("certificate names the malformed instance id %q", id)
	}
	return Identity{ID: fleet.InstanceID(id), Role: fleet.Role(role)}, nil
}
