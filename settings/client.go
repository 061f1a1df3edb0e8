package settings

import "github.com/camphorpaddle/camphorpaddle/core/types"

// Client holds the settings of the operators' command line.
type Client struct {
	Control  []types.Address // HTTP addresses of the control hosts
	Security Security
}

// ParseClient parses the settings of the operators' command line. An error is an
// *InvalidError.
func ParseClient(file string, data []byte) (*Client, error) {
	d := &decoder{file: file}
	root := d.root(data)
	out := &Client{Control: root.addresses("control"), Security: root.security()}
	root.reportUnknownKeys()
	if err := d.err(); err != nil {
		return nil, err
	}
	return out, nil
}
