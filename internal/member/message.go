// Package member lets instances find each other and agree on who is there, after SWIM (Das, Gupta and Motivala, 2002) with
// Lifeguard's awareness of one's own slowness (Dadgar, Phillips and Currey, 2018). It differs in what a member may say: only a
// member itself says that it is alive or leaves, an accusation is signed by its accuser, and nobody says that another is dead.
// Each decides that for itself, by accusations of several. Member is a pure state machine over packets and time; Edge is its
// socket.
package member

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// What a fact says.
const (
	factAlive        = iota + 1 // By is there, at Addr, since its incarnation began
	factSuspect                 // By has not reached About, of that incarnation
	factLeft                    // By leaves
	factServerReport            // By has seen something of a web server; Data says what
)

// Fact is one thing that a member has said. It goes from member to member as it was signed.
type Fact struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	By    string // who says it
	About string // suspect: whom; witness: which web server
	Inc   uint64 // incarnation of whom it is about; witness: of By
	Seq   uint64 // of By's facts of this kind about this; later ones take the place of earlier ones
	Addr  string // alive: where it listens
	Data  []byte
}

// signed is a fact with its signature.
type signed struct {
	_    struct{} `cbor:",toarray"`
	Fact []byte
	Sig  []byte
}

// What a packet is for.
const (
	ping      = iota + 1
	ack       // to a ping
	pingReq   // please ping Target for me
	nack      // it did not answer me in time: the one who asks hears at least that I am there
	exchange  // facts of all that I know, and please yours
	exchanged // the answer
)

// version of the packets. One of another is not read.
const version = 1

// packet is what goes over the network, signed by its sender as a whole.
type packet struct {
	_      struct{} `cbor:",toarray"`
	V      uint8
	Kind   uint8
	From   string
	To     string // so that it can't be replayed to another
	Inc    uint64 // of From, and
	Seq    uint64 // of its packets: none is taken twice
	Nonce  uint64 // of the ping that this belongs to
	Target string
	Sure   bool // it went over TCP, and the answer is to as well
	Facts  []signed
}

// Limits of what is read. What exceeds them is no packet.
const (
	maxName  = 64
	maxData  = 256
	maxFacts = 4096
	// PacketMost is how long a packet may be; SyncMost one with all facts, which goes over TCP.
	MaxPacketBytes = 1200
	MaxSyncBytes   = 1 << 20
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

// Why something is not taken.
var (
	ErrMalformed      = errors.New("not of the form")
	ErrVersion        = errors.New("of another version")
	ErrSignature      = errors.New("not signed by whom it says")
	ErrReplay         = errors.New("heard before")
	ErrStranger       = errors.New("of nobody who may be a member")
	ErrWrongRecipient = errors.New("for another member")
)

func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil { // of our own types: none can fail
		panic(err)
	}
	return b
}

// readFact checks a fact's form.
func readFact(b []byte) (f Fact, err error) {
	if err := decoder.Unmarshal(b, &f); err != nil {
		return f, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if f.Kind < factAlive || f.Kind > factServerReport || f.By == "" || len(f.By) > maxName || len(f.About) > maxName || len(f.Addr) > maxName || len(f.Data) > maxData {
		return f, ErrMalformed
	}
	return f, nil
}

// as is what is signed of a body: no signature of the one sort is good for the other.
func signedBytes(sort string, body []byte) []byte {
	return append([]byte("portstall "+sort+"\x00"), body...)
}

// seal signs a packet: a byte string of the packet and one of its signature.
func seal(p *packet, sign func([]byte) []byte) []byte {
	body := encode(p)
	return encode(signed{Fact: body, Sig: sign(signedBytes("packet", body))})
}

// unseal reads a packet whose signature holds.
func unseal(b []byte, keys Keys) (*packet, error) {
	var s signed
	if err := decoder.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	var p packet
	if err := decoder.Unmarshal(s.Fact, &p); err != nil {
		var v struct {
			_ struct{} `cbor:",toarray"`
			V uint8
		}
		if decoder.Unmarshal(s.Fact, &v); v.V != 0 && v.V != version {
			return nil, ErrVersion
		}
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	switch {
	case p.V != version:
		return nil, ErrVersion
	case p.From == "" || len(p.From) > maxName || len(p.Target) > maxName || p.Kind < ping || p.Kind > exchanged:
		return nil, ErrMalformed
	}
	if err := keys.Verify(p.From, signedBytes("packet", s.Fact), s.Sig); err != nil {
		return nil, err
	}
	return &p, nil
}

// state makes a signed fact.
func signFact(f *Fact, sign func([]byte) []byte) signed {
	body := encode(f)
	return signed{Fact: body, Sig: sign(signedBytes("fact", body))}
}

// check reads a fact whose signature holds.
func verifyFact(s signed, keys Keys) (Fact, error) {
	f, err := readFact(s.Fact)
	if err != nil {
		return f, err
	}
	return f, keys.Verify(f.By, signedBytes("fact", s.Fact), s.Sig)
}

// Keys know who may be a member. They are safe for concurrent use, or belong to one goroutine with the member.
type Keys interface {
	Sign(b []byte) []byte
	// Verify is nil where a signature is one of the name's; else ErrStranger or ErrSignature.
	Verify(name string, b, sig []byte) error
}
