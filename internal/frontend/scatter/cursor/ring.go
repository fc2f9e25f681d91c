package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"math"
)

// Ring is the keys of cursors: one for each secret and span of Rotate, derived from them alone, so that all who have the
// secret have the keys. The first secret seals; the others are taken, for as long as cursors may be old.
type Ring struct {
	secrets              [][]byte
	rotationMs, maxAgeMs float64
	newest               int64 // generation of which the keys are here, and all before it that are taken
	byID                 map[[idBytes]byte]cipher.AEAD
	sealingKey           cipher.AEAD
	sealingID            [idBytes]byte
	derived              bool
}

const (
	idBytes = 3
	// generationsAhead is how many generations ahead of the clock here a key is taken: other poolers' clocks differ.
	generationsAhead = 1
	// MaxGenerations bounds the generations of one secret that are taken at a time.
	MaxGenerations = 64
)

// NewRing makes a ring. Times are in milliseconds: keys change each rotate, cursors are taken for age.
func NewRing(rotate, age float64, secrets ...[]byte) *Ring {
	return &Ring{secrets: secrets, rotationMs: rotate, maxAgeMs: age}
}

// Generations is how many generations of a secret are taken at a time.
func Generations(rotate, age float64) int { return int(math.Ceil(age/rotate)) + 1 + generationsAhead }

// rotate has the keys be those of the present, in Unix milliseconds.
func (r *Ring) rotate(now float64) {
	g := int64(math.Floor(now / r.rotationMs))
	if r.derived && g == r.newest {
		return
	}
	r.newest, r.derived, r.byID = g, true, map[[idBytes]byte]cipher.AEAD{}
	first := int64(math.Floor((now - r.maxAgeMs) / r.rotationMs))
	for i := len(r.secrets) - 1; i >= 0; i-- { // where two ids are the same the newest key has it
		for k := first; k <= g+generationsAhead; k++ {
			id, key := derive(r.secrets[i], k)
			if r.byID[id] = key; i == 0 && k == g {
				r.sealingKey, r.sealingID = key, id
			}
		}
	}
	r.byID[r.sealingID] = r.sealingKey
}

// derive makes the key of a secret and a generation, and what names it.
func derive(secret []byte, generation int64) (id [idBytes]byte, key cipher.AEAD) {
	info := binary.BigEndian.AppendUint64([]byte("beechgrade scatter cursor"), uint64(generation))
	b, err := hkdf.Key(sha256.New, secret, nil, string(info), 32+idBytes)
	if err != nil { // only of a length that is too large
		panic(err)
	}
	block, err := aes.NewCipher(b[:32])
	if err != nil {
		panic(err)
	}
	key, err = cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	return [idBytes]byte(b[32:]), key
}
