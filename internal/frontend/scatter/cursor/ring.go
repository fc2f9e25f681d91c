package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
)

// Ring has the keys of cursors. There is one for each secret and generation, a span of rotationMs, and it is derived from these alone, so
// that all poolers with a secret have its keys. New cursors are sealed by the first secret; the others are for cursors that were sealed
// before the secret changed.
type Ring struct {
	secrets    [][]byte
	rotationMs float64
	maxAgeMs   float64

	derived    bool  // the fields below are set
	generation int64 // the present one
	byID       map[[idBytes]byte]cipher.AEAD
	sealingKey cipher.AEAD
	sealingID  [idBytes]byte
}

// MaxGenerations bounds the generations whose keys are valid at a time.
const MaxGenerations = 64

const (
	idBytes  = 3
	keyBytes = 32

	// generationsAhead is how many generations ahead of the clock a key is valid, as the clocks of poolers differ.
	generationsAhead = 1
)

// NewRing makes a ring whose keys change every rotationMs, for cursors that are valid for maxAgeMs. There must be a secret.
func NewRing(rotationMs, maxAgeMs float64, secrets ...[]byte) *Ring {
	return &Ring{secrets: secrets, rotationMs: rotationMs, maxAgeMs: maxAgeMs}
}

// Generations returns how many generations of a secret's keys are valid at a time.
func Generations(rotationMs, maxAgeMs float64) int {
	return int(math.Ceil(maxAgeMs/rotationMs)) + 1 + generationsAhead
}

// rotate derives the keys that are valid now, in Unix ms, if the generation has changed.
func (r *Ring) rotate(now float64) {
	present := int64(math.Floor(now / r.rotationMs))
	if r.derived && present == r.generation {
		return
	}
	r.derived = true
	r.generation = present
	r.byID = map[[idBytes]byte]cipher.AEAD{}
	oldest := int64(math.Floor((now - r.maxAgeMs) / r.rotationMs))
	for i := len(r.secrets) - 1; i >= 0; i-- { // of keys with equal IDs, the newest is valid
		for generation := oldest; generation <= present+generationsAhead; generation++ {
			id, key := derive(r.secrets[i], generation)
			r.byID[id] = key
			if i == 0 && generation == present {
				r.sealingKey = key
				r.sealingID = id
			}
		}
	}
	r.byID[r.sealingID] = r.sealingKey
}

// derive returns the key of a secret and a generation, and its ID.
func derive(secret []byte, generation int64) (id [idBytes]byte, key cipher.AEAD) {
	info := binary.BigEndian.AppendUint64([]byte("beechgrade scatter cursor"), uint64(generation))
	material, err := hkdf.Key(sha256.New, secret, nil, string(info), keyBytes+idBytes)
	if err != nil {
		panic(fmt.Sprintf("cursor: derive %d bytes: %v", keyBytes+idBytes, err)) // only more bytes than SHA-256 allows
	}
	block, err := aes.NewCipher(material[:keyBytes])
	if err != nil {
		panic(fmt.Sprintf("cursor: AES with a key of %d bytes: %v", keyBytes, err)) // only another length
	}
	key, err = cipher.NewGCM(block)
	if err != nil {
		panic(fmt.Sprintf("cursor: GCM: %v", err)) // only a cipher of another block size
	}
	return [idBytes]byte(material[keyBytes:]), key
}
