package control

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/membership"
	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/workspace"
)

// toMillis returns Unix milliseconds, and zero for the zero time.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func memberToPB(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:                   m.ID,
		Incarnation:          m.Incarnation,
		DataCentre:           m.DataCentre,
		Region:               m.Region,
		PeerAddress:          m.PeerAddress,
		Status:               peerpb.MemberStatus(m.Status),
		Version:              m.Version,
		Service:              m.Service,
		Draining:             m.Draining,
		StartedUnixMs:        toMillis(m.Started),
		MaxConnections:       int32(m.MaxConnections),
		BackendStartedUnixMs: toMillis(m.BackendStarted),
		AppliedSeq:           m.AppliedSeq,
	}
}

func memberFromPB(m *peerpb.Member) membership.Member {
	return membership.Member{
		ID:             m.GetId(),
		Incarnation:    m.GetIncarnation(),
		DataCentre:     m.GetDataCentre(),
		Region:         m.GetRegion(),
		PeerAddress:    m.GetPeerAddress(),
		Status:         membership.Status(m.GetStatus()),
		Version:        m.GetVersion(),
		Service:        m.GetService(),
		Draining:       m.GetDraining(),
		Started:        fromMillis(m.GetStartedUnixMs()),
		MaxConnections: int(m.GetMaxConnections()),
		BackendStarted: fromMillis(m.GetBackendStartedUnixMs()),
		AppliedSeq:     m.GetAppliedSeq(),
	}
}

func membersToPB(ms []membership.Member) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(ms))
	for _, m := range ms {
		out = append(out, memberToPB(m))
	}
	return out
}

func membersFromPB(ms []*peerpb.Member) []membership.Member {
	out := make([]membership.Member, 0, len(ms))
	for _, m := range ms {
		out = append(out, memberFromPB(m))
	}
	return out
}

func evidenceToPB(es []membership.Evidence) []*peerpb.Evidence {
	out := make([]*peerpb.Evidence, 0, len(es))
	for _, e := range es {
		out = append(out, &peerpb.Evidence{Source: e.Source, AgeMs: e.Age.Milliseconds()})
	}
	return out
}

func evidenceFromPB(es []*peerpb.Evidence) []membership.Evidence {
	out := make([]membership.Evidence, 0, len(es))
	for _, e := range es {
		out = append(out, membership.Evidence{Source: e.GetSource(), Age: time.Duration(e.GetAgeMs()) * time.Millisecond})
	}
	return out
}

func digestsToPB(ds []membership.Digest) [][]byte {
	out := make([][]byte, 0, len(ds))
	for _, d := range ds {
		out = append(out, d[:])
	}
	return out
}

// digestsFromPB leaves out what is not a digest.
func digestsFromPB(ds [][]byte) []membership.Digest {
	out := make([]membership.Digest, 0, len(ds))
	for _, d := range ds {
		if len(d) == len(membership.Digest{}) {
			out = append(out, membership.Digest(d))
		}
	}
	return out
}

func toDigests(ds []membership.Digest) []workspace.Digest {
	out := make([]workspace.Digest, 0, len(ds))
	for _, d := range ds {
		out = append(out, workspace.Digest(d))
	}
	return out
}

func requestToPB(e membership.Exchange, quarantine []byte) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		Self:              memberToPB(e.Self),
		Members:           membersToPB(e.Members),
		Evidence:          evidenceToPB(e.Evidence),
		Seq:               e.Seq,
		RevocationsDigest: e.RevocationsDigest,
		Revocations:       digestsToPB(e.Revocations),
		MembersDigest:     e.MembersDigest,
		Full:              e.Full,
		Quarantine:        quarantine,
	}
}

func responseToPB(e membership.Exchange, quarantine []byte) *peerpb.ExchangeResponse {
	return &peerpb.ExchangeResponse{
		Self:              memberToPB(e.Self),
		Members:           membersToPB(e.Members),
		Evidence:          evidenceToPB(e.Evidence),
		Seq:               e.Seq,
		RevocationsDigest: e.RevocationsDigest,
		Revocations:       digestsToPB(e.Revocations),
		MembersDigest:     e.MembersDigest,
		Quarantine:        quarantine,
	}
}

// exchangeMessage is what requests and responses have in common.
type exchangeMessage interface {
	GetSelf() *peerpb.Member
	GetMembers() []*peerpb.Member
	GetEvidence() []*peerpb.Evidence
	GetSeq() int64
	GetRevocationsDigest() uint64
	GetRevocations() [][]byte
	GetMembersDigest() uint64
}

// exchangeFromPB reads a request, or a response to one, that asked for the full
// table or not.
func exchangeFromPB(m exchangeMessage, full bool) membership.Exchange {
	return membership.Exchange{
		Self:              memberFromPB(m.GetSelf()),
		Members:           membersFromPB(m.GetMembers()),
		Evidence:          evidenceFromPB(m.GetEvidence()),
		Seq:               m.GetSeq(),
		RevocationsDigest: m.GetRevocationsDigest(),
		Revocations:       digestsFromPB(m.GetRevocations()),
		MembersDigest:     m.GetMembersDigest(),
		Full:              full,
	}
}
