// Package hostileclients tests that clients which send anything, or nothing, neither end a
// process nor make it use more than its settings allow, and that others are still served.
package hostileclients
