package upstream

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// CheckStatus returns an error unless the status code of a response is three digits from 100 on.
// net/http also accepts 000 and numbers with a sign. 101 is an error too: requests to targets ask
// for no other protocol.
func CheckStatus(resp *http.Response) error {
	code := resp.Status[:min(3, len(resp.Status))]
	for _, c := range code {
		if c < '0' || c > '9' {
			return errors.Newf("status code %q is no number", code)
		}
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.Newf("status code %q is none of a response to this request", code)
	}
	return nil
}
