// Package wholepath holds the tests of the whole path: separate chivespindled
// processes between the stand-ins of the platform and callers over HTTP.
//
// What is counted is counted by the stand-ins and by the callers. What the
// processes say of themselves is used to wait for something, or where a spec
// is about just that.
package wholepath
