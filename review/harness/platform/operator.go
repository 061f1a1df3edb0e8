package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Operator calls the control hosts as the operator does: it follows redirects twice and
// turns to another host after a failure or a second without an answer.
type Operator struct {
	system *System
	client *http.Client
	next   int

	AckedBy string // address of the host that gave the last acknowledgement
}

// NewOperator returns an operator that knows all control hosts.
func (s *System) NewOperator() *Operator {
	return &Operator{system: s, client: &http.Client{
		Timeout: time.Second,
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}}
}

// Put sends a configuration until it is acknowledged or the time is up. It reports the
// last status.
func (o *Operator) Put(body string, limit time.Duration) int {
	status := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		host := o.host()
		resp, err := o.client.Post("http://"+host+"/config/put", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != status {
			o.system.Record.Add("operator: put answered %d by %s", resp.StatusCode, resp.Request.URL.Host)
		}
		status = resp.StatusCode
		if status == http.StatusOK {
			o.AckedBy = resp.Request.URL.Host
		}
		if status == http.StatusOK || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status
		}
	}
	return status
}

// Get asks the next control host for the configuration once.
func (o *Operator) Get() (int, string) {
	host := o.host()
	resp, err := o.client.Get("http://" + host + "/config/get")
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

func (o *Operator) host() string {
	o.next++
	return o.system.Control[(o.next-1)%len(o.system.Control)]
}

// configure puts the first configuration.
func (s *System) configure(config string) (*Operator, error) {
	o := s.NewOperator()
	if status := o.Put(config, putLimit); status != http.StatusOK {
		return nil, fmt.Errorf("the first configuration was answered with %d", status)
	}
	return o, nil
}

const putLimit = 20 * time.Second

// VersionOf returns the version of a configuration.
func VersionOf(body string) (int, error) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(body), &fields); err != nil {
		return 0, err
	}
	version, ok := fields["version"].(float64)
	if !ok {
		return 0, fmt.Errorf("the configuration has no version: %.100q", body)
	}
	return int(version), nil
}
