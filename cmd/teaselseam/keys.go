package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/teaselseam/teaselseam/internal/adminapi"
)

// maxKeyInput bounds a key read from standard input, in bytes.
const maxKeyInput = 4096

type keyCmd struct {
	Issue  keyIssueCmd  `cmd:"" help:"Issue a key for a workspace. It is shown this once."`
	List   keyListCmd   `cmd:"" help:"List keys by digest."`
	Revoke keyRevokeCmd `cmd:"" help:"Revoke a key for good."`
}

type keyIssueCmd struct {
	operationFlag
	Workspace string `arg:"" help:"Workspace that the key is for."`
}

// Run issues a key. In text form only the key goes to standard output.
func (k *keyIssueCmd) Run(ctx context.Context, c *client, p *printer, s streams) error {
	in := adminapi.IssueRequest{Workspace: k.Workspace, Operation: k.id()}
	var out adminapi.IssueResponse
	if err := c.change(ctx, "/v1/keys", in.Operation, in, &out); err != nil {
		return err
	}
	return p.print(out, func() {
		fmt.Fprintln(p.out, out.Key)
		note := printer{out: s.err}
		fmt.Fprintf(s.err, "digest %s\n", out.Digest)
		note.change(out.ChangeResponse)
	})
}

type keyListCmd struct {
	Workspace string `help:"Only keys of this workspace."`
}

// Run lists keys.
func (k *keyListCmd) Run(ctx context.Context, c *client, p *printer) error {
	var out adminapi.KeysResponse
	if err := c.get(ctx, "/v1/keys", nil, &out); err != nil {
		return err
	}
	out.Keys = slices.DeleteFunc(out.Keys, func(key adminapi.Key) bool { return k.Workspace != "" && key.Workspace != k.Workspace })
	return p.print(out, func() {
		rows := [][]string{{"WORKSPACE", "DIGEST", "REVOKED"}}
		for _, key := range out.Keys {
			rows = append(rows, []string{key.Workspace, key.Digest, strconv.FormatBool(key.Revoked)})
		}
		p.table(rows)
	})
}

type keyRevokeCmd struct {
	operationFlag
	Digest   string `arg:"" optional:"" help:"Digest of the key, or its first digits as listed."`
	KeyStdin bool   `help:"Read the key itself from standard input."`
}

// Run revokes a key.
func (k *keyRevokeCmd) Run(ctx context.Context, c *client, p *printer, s streams) error {
	in := adminapi.RevokeRequest{Digest: k.Digest, Operation: k.id()}
	if k.KeyStdin == (k.Digest != "") {
		return usageError{errors.New("give either a digest or --key-stdin")}
	}
	if k.KeyStdin {
		data, err := io.ReadAll(io.LimitReader(s.in, maxKeyInput))
		if err != nil {
			return err
		}
		if in.Key = strings.TrimSpace(string(data)); in.Key == "" {
			return usageError{errors.New("standard input has no key")}
		}
	}
	var out adminapi.RevokeResponse
	if err := c.change(ctx, "/v1/keys/revoke", in.Operation, in, &out); err != nil {
		return err
	}
	return p.print(out, func() {
		if out.Known {
			fmt.Fprintf(p.out, "digest %s of workspace %s\n", out.Digest, out.Workspace)
		} else {
			fmt.Fprintf(p.out, "digest %s, which the node does not know as issued\n", out.Digest)
		}
		p.change(out.ChangeResponse)
	})
}
