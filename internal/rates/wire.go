package rates

import (
	"time"

	"github.com/teaselseam/teaselseam/internal/peerpb"
	"github.com/teaselseam/teaselseam/internal/quota"
	"github.com/teaselseam/teaselseam/internal/ring"
)

func borrowToPB(r quota.Borrow) *peerpb.BorrowRequest {
	pb := &peerpb.BorrowRequest{
		Lender: &peerpb.LenderID{
			Node: r.Lender.Node, Incarnation: r.Lender.Incarnation,
			DataCentre: r.Lender.DataCentre, PeerAddress: r.Lender.PeerAddress,
		},
		Workspace: r.Workspace, DataCentre: r.DataCentre, Borrower: r.Borrower, Relay: r.Relay,
		Sequence: r.Sequence, Want: r.Want, Demand: r.Demand,
	}
	for _, report := range r.Reports {
		pb.Reports = append(pb.Reports, &peerpb.BorrowReport{Sequence: report.Sequence, Held: report.Held, Used: report.Used})
	}
	return pb
}

func borrowFromPB(pb *peerpb.BorrowRequest) quota.Borrow {
	lender := pb.GetLender()
	r := quota.Borrow{
		Lender: quota.LenderID{
			Node: lender.GetNode(), Incarnation: lender.GetIncarnation(),
			DataCentre: lender.GetDataCentre(), PeerAddress: lender.GetPeerAddress(),
		},
		Workspace: pb.Workspace, DataCentre: pb.DataCentre, Borrower: pb.Borrower, Relay: pb.Relay,
		Sequence: pb.Sequence, Want: pb.Want, Demand: pb.Demand,
	}
	for _, report := range pb.Reports {
		r.Reports = append(r.Reports, quota.Report{Sequence: report.GetSequence(), Held: report.GetHeld(), Used: report.GetUsed()})
	}
	return r
}

func grantToPB(g quota.Grant) *peerpb.BorrowResponse {
	return &peerpb.BorrowResponse{
		Sequence: g.Sequence, Granted: g.Granted, LifeUs: g.Life.Microseconds(),
		RetryAfterUs: g.RetryAfter.Microseconds(), NotLender: g.NotLender, AheadUs: g.Ahead.Microseconds(),
	}
}

func grantFromPB(pb *peerpb.BorrowResponse) quota.Grant {
	return quota.Grant{
		Sequence: pb.Sequence, Granted: pb.Granted, Life: time.Duration(pb.LifeUs) * time.Microsecond,
		RetryAfter: time.Duration(pb.RetryAfterUs) * time.Microsecond, NotLender: pb.NotLender,
		Ahead: time.Duration(pb.AheadUs) * time.Microsecond,
	}
}

func handOverToPB(h quota.HandOver) *peerpb.HandOverRequest {
	return &peerpb.HandOverRequest{
		Workspace: h.Workspace, DataCentre: h.DataCentre, Since: h.Since, Incarnation: h.Incarnation,
		Rate: h.Part.Rate, Burst: h.Part.Burst, Level: h.Level, Outstanding: h.Outstanding,
	}
}

func handOverFromPB(pb *peerpb.HandOverRequest) quota.HandOver {
	return quota.HandOver{
		Workspace: pb.Workspace, DataCentre: pb.DataCentre, Since: pb.Since, Incarnation: pb.Incarnation,
		Part: quota.Limit{Rate: pb.Rate, Burst: pb.Burst}, Level: pb.Level, Outstanding: pb.Outstanding,
	}
}

func lenderID(m ring.Member) quota.LenderID {
	return quota.LenderID{Node: m.Node, Incarnation: m.Incarnation, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress}
}
