package main

import (
	"fmt"

	"github.com/teaselseam/teaselseam/internal/operator"
)

type evacuateCmd struct {
	Begin evacuateBeginCmd `cmd:"" help:"Send nothing more to the backend servers of a data centre."`
	End   evacuateEndCmd   `cmd:"" help:"Take a data centre back."`
	List  evacuateListCmd  `cmd:"" help:"List evacuated data centres."`
}

type evacuateBeginCmd struct {
	DataCentre string `arg:""`
	Force      bool   `help:"Accept a data centre in which the fleet has no node."`
}

// Run begins an evacuation. It is in force at all nodes in touch a few seconds later.
func (e *evacuateBeginCmd) Run(s *session) error {
	entry, err := s.client.BeginEvacuation(s.ctx, e.DataCentre, e.Force)
	return s.printEntry(entry, err)
}

type evacuateEndCmd struct {
	DataCentre string `arg:""`
}

// Run ends an evacuation.
func (e *evacuateEndCmd) Run(s *session) error {
	entry, err := s.client.EndEvacuation(s.ctx, e.DataCentre)
	return s.printEntry(entry, err)
}

// printEntry prints the entry of the audit trail of a change.
func (s *session) printEntry(entry *operator.AuditEntry, err error) error {
	if err != nil {
		return err
	}
	return s.output.print(entry, func() { fmt.Fprintln(s.output.out, entry.Summary) })
}

type evacuateListCmd struct{}

// Run lists the evacuated data centres.
func (e *evacuateListCmd) Run(s *session) error {
	list, err := s.client.Evacuations(s.ctx)
	if err != nil {
		return err
	}
	return s.output.print(list, func() {
		var rows [][]string
		for _, x := range list {
			rows = append(rows, []string{x.DataCentre, fmt.Sprint(x.Members)})
		}
		s.output.table("DATA-CENTRE NODES", rows)
	})
}
