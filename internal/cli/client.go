package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/adminapi"
)

// callTimeout bounds a call to the router, including its response.
const callTimeout = 30 * time.Second

// maxResponseBytes bounds the body of a response that is read.
const maxResponseBytes = 256 << 20

// client calls a router's admin listener.
type client struct {
	base  string
	token string
	http  *http.Client
}

func newClient(base, token, caFile string) (*client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, usagef("--admin must be an http or https URL, such as http://127.0.0.1:8081")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, errors.Wrap(err, "read --ca-file")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, usagef("--ca-file %s holds no certificate", caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &client{
		base: strings.TrimSuffix(base, "/"), token: token,
		http: &http.Client{Transport: transport, Timeout: callTimeout},
	}, nil
}

// ifVersion returns the header of a write that is conditional on a version; 0
// means that there must be no object.
func ifVersion(version uint64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}

// call sends a request and decodes the JSON response into out. The error is an
// *adminapi.Error if the router reported one.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	data, err := c.raw(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, out), "%s %s: decode response", method, path)
}

// raw sends a request and returns the body of the response.
func (c *client) raw(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, usagef("%v", err)
	}
	req.GetBody = nil
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, noResponseError(err, method, connected.Load())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, noResponseError(err, method, true)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errorFromResponse(resp.StatusCode, data)
	}
	return data, nil
}

// noResponseError returns the error of a call that got no response. A write that may
// have reached the router may have been applied, so its code is CodeUnconfirmed.
func noResponseError(err error, method string, sent bool) error {
	if method == http.MethodGet || !sent {
		return &unreachableError{err}
	}
	return &adminapi.Error{Code: adminapi.CodeUnconfirmed, Message: "the answer was lost: " + err.Error()}
}

func errorFromResponse(status int, data []byte) error {
	var body adminapi.ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil && body.Error.Code != "" {
		return body.Error
	}
	code := adminapi.CodeInternal
	if status == http.StatusNotFound {
		code = adminapi.CodeNotFound
	}
	return &adminapi.Error{Code: code, Message: "status " + strconv.Itoa(status) + ": " + strings.TrimSpace(string(data[:min(len(data), 500)]))}
}
