package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/teaselseam/teaselseam/internal/operator"
)

type backupCmd struct {
	File string `arg:"" help:"File to write. It contains workspace keys and is readable by its owner only."`
}

// Run writes the operator's table to the file. An earlier file is replaced only once the
// new one is complete.
func (b *backupCmd) Run(s *session) error {
	backup, err := s.client.Backup(s.ctx)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(backup, "", "  ")
	if err != nil {
		return err
	}
	temporary := b.File + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	if err := os.Rename(temporary, b.File); err != nil {
		return err
	}
	written := map[string]uint64{"version": backup.Version, "rows": uint64(len(backup.Rows)), "era": backup.Era}
	return s.output.print(written, func() {
		fmt.Fprintf(s.output.out, "version %d, %d rows, era %d\n", backup.Version, len(backup.Rows), backup.Era)
	})
}

type restoreCmd struct {
	File   string `arg:"" type:"existingfile" help:"File written by backup."`
	DryRun bool   `help:"Show what would be written."`
}

// Run writes what the store lacks of the backup.
func (r *restoreCmd) Run(s *session) error {
	data, err := os.ReadFile(r.File)
	if err != nil {
		return err
	}
	var backup operator.Backup
	if err := json.Unmarshal(data, &backup); err != nil {
		return fmt.Errorf("%w: %s is not a backup: %w", operator.ErrInvalid, r.File, err)
	}
	restore := s.client.Restore
	if r.DryRun {
		restore = s.client.PlanRestore
	}
	done, err := restore(s.ctx, &backup)
	if err != nil {
		return err
	}
	return s.output.print(done, func() {
		fmt.Fprintf(s.output.out, "configuration %d -> %d, %d entries of the audit trail\n", done.From, done.To, len(done.Audit))
		for _, entry := range done.Audit {
			fmt.Fprintf(s.output.out, "+ %d %s %s\n", entry.Version, entry.Actor, entry.Summary)
		}
	})
}
