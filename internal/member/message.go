// Package member implements group membership: instances find each other and agree on which of them are alive. The
// protocol is SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's local health awareness (Dadgar, Phillips and
// Currey, 2018). It differs in what a member may claim: only a member itself announces that it is alive or leaves, an
// accusation is signed by its accuser, and no member declares another dead to the rest. Each member decides that by
// itself, from the accusations of several others. Member is a pure state machine over packets and time; Transport runs
// it on sockets.
package member

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The kinds of facts.
const (
	factAlive        = iota + 1 // By is alive and listens at Addr, in this incarnation
	factSuspect                 // By could not reach About, in that incarnation of About
	factLeft                    // By leaves
	factServerReport            // Data holds what By has observed of a web server, see ReportServer
)

// Fact is one signed statement of a member. It is passed on unchanged, with the signature of its author.
type Fact struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	By    string // name of the author
	About string // name of the accused member, or ID of the web server
	Inc   uint64 // incarnation of the accused member, of By in the other kinds
	Seq   uint64 // orders By's facts of one kind about one subject; a later one replaces earlier ones
	Addr  string // host:port where By listens; factAlive only
	Data  []byte // factServerReport only
}

// signed is an encoded fact, or a whole packet, with its signature.
type signed struct {
	_         struct{} `cbor:",toarray"`
	Body      []byte
	Signature []byte
}

// The kinds of packets.
const (
	ping      = iota + 1
	ack       // reply to a ping, or to a pingReq whose target replied
	pingReq   // asks the receiver to ping Target for the sender
	nack      // reply to a pingReq whose target did not reply in time; it shows that the helper itself is alive
	exchange  // all facts that the sender knows, and a request for the receiver's
	exchanged // reply to an exchange, or unrequested facts about one member
)

// version is the version of the packet format. Packets of other versions are rejected.
const version = 1

// packet is one message between members, signed by its sender as a whole.
type packet struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    uint8
	From    string
	To      string // name of the receiver, so that the packet can't be replayed to another member
	Inc     uint64 // incarnation of From
	Seq     uint64 // number of the packet within the incarnation of From; none is accepted twice
	Nonce   uint64 // of the ping that the packet belongs to
	Target  string // member to ping or that has replied; pingReq and its ack only
	OverTCP bool   // the packet goes over TCP, and so does the reply to it
	Facts   []signed
}

// Limits of received facts and packets; the lengths in bytes. Input that exceeds them is malformed.
const (
	maxName  = 64
	maxData  = 256
	maxFacts = 4096
	// MaxPacketBytes is the maximum length of a packet over UDP.
	MaxPacketBytes = 1200
	// MaxSyncBytes is the maximum length of a packet over TCP, such as one with all facts.
	MaxSyncBytes = 1 << 20
)

var (
	encoder cbor.EncMode
	decoder cbor.DecMode
)

func init() {
	var err error
	if encoder, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		panic(err)
	}
	decoder, err = cbor.DecOptions{MaxArrayElements: maxFacts, MaxMapPairs: 16, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, UTF8: cbor.UTF8RejectInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
}

// The reasons for which a packet or a fact is rejected. The management page /-/members has a count for each, with the
// text as its JSON key: the texts must not change.
var (
	ErrMalformed      = errors.New("not of the form")
	ErrVersion        = errors.New("of another version")
	ErrSignature      = errors.New("not signed by whom it says")
	ErrReplay         = errors.New("heard before")
	ErrUnknownMember  = errors.New("of nobody who may be a member")
	ErrWrongRecipient = errors.New("for another member")
)

// encode returns the canonical CBOR encoding of a value.
func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil { // only for types that can't be encoded, of which there are none here
		panic(err)
	}
	return b
}

// readFact decodes a fact and checks its limits, but not its signature.
func readFact(b []byte) (f Fact, err error) {
	if err := decoder.Unmarshal(b, &f); err != nil {
		return f, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if f.Kind < factAlive || f.Kind > factServerReport || f.By == "" || len(f.By) > maxName || len(f.About) > maxName || len(f.Addr) > maxName || len(f.Data) > maxData {
		return f, ErrMalformed
	}
	return f, nil
}

// signedBytes returns what is signed for a body. The prefix keeps a signature of a fact from being valid for a packet,
// and the reverse.
func signedBytes(kind string, body []byte) []byte {
	return append([]byte("portstall "+kind+"\x00"), body...)
}

// seal encodes and signs a packet, as a byte string of the packet and one of its signature.
func seal(p *packet, sign func([]byte) []byte) []byte {
	body := encode(p)
	return encode(signed{Body: body, Signature: sign(signedBytes("packet", body))})
}

// unseal decodes a packet and verifies its signature.
func unseal(b []byte, keys Keys) (*packet, error) {
	var s signed
	if err := decoder.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	var p packet
	if err := decoder.Unmarshal(s.Body, &p); err != nil {
		var v struct {
			_       struct{} `cbor:",toarray"`
			Version uint8
		}
		if decoder.Unmarshal(s.Body, &v); v.Version != 0 && v.Version != version {
			return nil, ErrVersion
		}
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	switch {
	case p.Version != version:
		return nil, ErrVersion
	case p.From == "" || len(p.From) > maxName || len(p.Target) > maxName || p.Kind < ping || p.Kind > exchanged:
		return nil, ErrMalformed
	}
	if err := keys.Verify(p.From, signedBytes("packet", s.Body), s.Signature); err != nil {
		return nil, err
	}
	return &p, nil
}

// signFact encodes and signs a fact.
func signFact(f *Fact, sign func([]byte) []byte) signed {
	body := encode(f)
	return signed{Body: body, Signature: sign(signedBytes("fact", body))}
}

// verifyFact decodes a fact and verifies its signature.
func verifyFact(s signed, keys Keys) (Fact, error) {
	f, err := readFact(s.Body)
	if err != nil {
		return f, err
	}
	return f, keys.Verify(f.By, signedBytes("fact", s.Body), s.Signature)
}

// Keys signs for one member and knows the keys of all that may be members. An implementation is safe for concurrent
// use, or is used by one goroutine together with its Member.
type Keys interface {
	// Sign returns the member's own signature of b.
	Sign(b []byte) []byte
	// Verify returns nil where sig is a signature of b by the named member, otherwise ErrUnknownMember or ErrSignature.
	Verify(name string, b, sig []byte) error
}
