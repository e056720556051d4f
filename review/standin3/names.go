package main

import (
	"embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are the headers and paths of the users' protocol. A test of the project keeps them out of Go code.
var names = func() (n struct {
	RequestID string `json:"request_id"`
	Seal      string `json:"seal"`
	Target    string `json:"target"`
	Tokens    string `json:"tokens"`
	Prefix    string `json:"prefix"`
	Remaining string `json:"remaining"`
	Pieces    string `json:"pieces"`
	PieceKey  string `json:"piece_key"`
	Instances string `json:"instances_path"`
	Run       string `json:"run_path"`
	Free      string `json:"free_path"`
},
) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()

// configurations has the configuration of each case.
//
//go:embed configurations/*.json
var configurations embed.FS
