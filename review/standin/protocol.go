package main

import (
	_ "embed" // The texts of the protocol are data, apart from the code.
	"encoding/json"
)

// The operator's configurations of the cases.
var (
	//go:embed stages.json
	stagesConfiguration []byte
	//go:embed orders.json
	ordersConfiguration []byte
	//go:embed protocol.json
	protocolText []byte
)

// protocol holds the names of the headers and paths that the stand-ins read or set one by one.
var protocol = decodeProtocol(protocolText)

type protocolNames struct {
	RequestID     string `json:"request_id"`
	Seal          string `json:"seal"`
	Target        string `json:"target"`
	Inputs        string `json:"inputs"`
	Tokens        string `json:"tokens"`
	Prefix        string `json:"prefix"`
	Pieces        string `json:"pieces"`
	PieceKey      string `json:"piece_key"`
	InstancesPath string `json:"instances_path"`
	RunPath       string `json:"run_path"`
	FreePath      string `json:"free_path"`
}

func decodeProtocol(text []byte) protocolNames {
	var names protocolNames
	if err := json.Unmarshal(text, &names); err != nil {
		panic("protocol.json does not decode: " + err.Error())
	}
	return names
}
