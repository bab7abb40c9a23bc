package keys

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"

	"chivespindle.example/core/fleet"
)

// identityPrefix starts the URI subject alternative name that carries an
// identity: urn:chivespindle:<role>:<id>.
const identityPrefix = "urn:chivespindle:"

// idPattern bounds an instance id, so that it can stand in a log line, a file
// name and a URI without being escaped.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:~-]{0,127}$`)

// Identity is who a process is, as its certificate tells.
type Identity struct {
	ID   fleet.InstanceID
	Role fleet.Role
}

// String returns "role:id".
func (i Identity) String() string { return string(i.Role) + ":" + string(i.ID) }

// URI returns the name that a certificate of this identity carries. The
// failure is RoleMissing when the role or the id is not one that ParseURI
// would take back.
func (i Identity) URI() (*url.URL, error) {
	uri := &url.URL{Scheme: "urn", Opaque: "chivespindle:" + i.String()}
	if _, err := parseURI(uri); err != nil {
		return nil, err
	}
	return uri, nil
}

// IdentityOf reads the identity from a certificate's URI names. A certificate
// that names none, or more than one, has no identity: with two, the reader
// that takes the first and the one that takes the last would disagree on who
// the peer is. The failure is RoleMissing.
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
