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

// Ring has the keys that encrypt cursors: one for each secret and generation, where a generation is a span of rotationMs. A key is derived
// from these two alone, so that all poolers with a secret have its keys. New cursors are sealed with a key of the first secret; the other
// secrets open cursors that were sealed before the first secret was changed.
type Ring struct {
	secrets    [][]byte
	rotationMs float64
	maxAgeMs   float64

	derived    bool  // whether the fields below are set
	generation int64 // the current generation
	byID       map[[idBytes]byte]cipher.AEAD
	sealingKey cipher.AEAD
	sealingID  [idBytes]byte
}

// MaxGenerations is the largest number of generations whose keys may be valid at a time.
const MaxGenerations = 64

const (
	idBytes  = 3
	keyBytes = 32

	// generationsAhead is the number of future generations whose keys are valid, as the clocks of poolers differ.
	generationsAhead = 1
)

// NewRing makes a ring whose keys change every rotationMs, for cursors that are valid for maxAgeMs. At least one secret is required.
func NewRing(rotationMs, maxAgeMs float64, secrets ...[]byte) *Ring {
	return &Ring{secrets: secrets, rotationMs: rotationMs, maxAgeMs: maxAgeMs}
}

// Generations returns how many generations of a secret's keys are valid at a time.
func Generations(rotationMs, maxAgeMs float64) int {
	return int(math.Ceil(maxAgeMs/rotationMs)) + 1 + generationsAhead
}

// rotate derives the keys that are valid now, in Unix ms, if the generation has changed.
func (r *Ring) rotate(now float64) {
	current := int64(math.Floor(now / r.rotationMs))
	if r.derived && current == r.generation {
		return
	}
	r.derived = true
	r.generation = current
	r.byID = map[[idBytes]byte]cipher.AEAD{}
	oldest := int64(math.Floor((now - r.maxAgeMs) / r.rotationMs))
	for i := len(r.secrets) - 1; i >= 0; i-- { // among keys with equal IDs, the newest is kept
		for generation := oldest; generation <= current+generationsAhead; generation++ {
			id, key := derive(r.secrets[i], generation)
			r.byID[id] = key
			if i == 0 && generation == current {
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
		panic(fmt.Sprintf("cursor: derive %d bytes: %v", keyBytes+idBytes, err)) // only if more bytes are requested than SHA-256 allows
	}
	block, err := aes.NewCipher(material[:keyBytes])
	if err != nil {
		panic(fmt.Sprintf("cursor: AES with a key of %d bytes: %v", keyBytes, err)) // only for an invalid length
	}
	key, err = cipher.NewGCM(block)
	if err != nil {
		panic(fmt.Sprintf("cursor: GCM: %v", err)) // only for a cipher of another block size
	}
	return [idBytes]byte(material[keyBytes:]), key
}
