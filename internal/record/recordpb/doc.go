// Package recordpb is the schema of the records, generated from record.proto.
package recordpb

//go:generate protoc --go_out=../../.. --go_opt=module=beechgrade -I ../../.. internal/record/recordpb/record.proto
