// Package standin serves the fakes of the systems around umberhill over HTTP, for the
// demo, tests and benchmarks. Its sub-packages implement the fakes.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// HeaderTimeout bounds the time to read a request's headers.
const HeaderTimeout = 30 * time.Second

// Ready is the JSON line that a stand-in prints once it accepts connections.
type Ready struct {
	// Address is the IP and port that serve HTTP.
	Address string `json:"address"`
}

// Server serves a handler on a TCP address.
type Server struct {
	// Address is the IP and port that serve HTTP.
	Address string

	http *http.Server
	wg   conc.WaitGroup
}

// Start listens on address and serves h until Close. With port 0 in the address, as
// in "127.0.0.1:0", the kernel assigns a port.
func Start(address string, h http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in: listen on %s", address)
	}
	s := &Server{
		Address: listener.Addr().String(),
		http:    &http.Server{Handler: h, ReadHeaderTimeout: HeaderTimeout},
	}
	s.wg.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Close closes all connections and returns once the server has stopped.
func (s *Server) Close() error {
	err := s.http.Close()
	s.wg.Wait()
	return err
}

// ReadFaults decodes the request's body into faults. It answers with status 400 and
// returns false if the body has unknown fields or is not valid JSON.
func ReadFaults(w http.ResponseWriter, r *http.Request, faults any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(faults); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// WriteJSON writes a response with the status and value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteError writes a response with the status and an ErrorBody of the message.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Error: message})
}

// AbortConnection closes the connection of the current request. It does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
