package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

const (
	// firstAt and lastAt bound when troubles begin, in seconds from the start of traffic.
	firstAt, lastAt = 1.0, 28.0
	// likely is the chance of a modifier.
	likely = 0.35
)

// draw draws entries of a day.
type draw struct {
	random   *rand.Rand
	services []string
}

// template is a kind of entry. In its text, what stands between < and > is drawn: "a|b" is one of the choices (which may
// be empty), "1~5" a number between two, "1..5" a whole one, "?a" the word a or nothing, "service" a service.
type template string

var planned = []template{
	`kind = "config_change", how = "<route|weights|timeout|idle>"`,
	`kind = "config_race", count = <1..6>, gap_s = <0.6~1.6>`,
	`kind = "config_storm", for_s = <2~14>, gap_s = <0.05~0.5>`,
	`kind = "bad_config", count = <1..4>, gap_s = <0.3~1.2>, how = "<|cut_short|unknown_service|same_place|no_weight|no_timeout|old_version|same_version|stale_match>"`,
	`kind = "big_config", count = <60..400>`,
	`kind = "release", share = <0.2~0.5>, x = 1.0, gap_s = <0.6~1.4>`,
	`kind = "scale_in", service = "<service>", share = <0.1~0.3>`,
	`kind = "scale_out", service = "<service>", share = <0.1~0.3>, gap_s = 2.0`,
	`kind = "roll_term", on = "core", share = 1.0, x = 1.0, gap_s = <0.9~2.5>, how = "<|remove|busy>"`,
	`kind = "roll_term", on = "front", share = <0.4~1.0>, x = 1.0, gap_s = <0.8~1.6>, how = "<|busy>"`,
	`kind = "roll_term", on = "front", share = <0.1~0.35>, x = 1.0, gap_s = <0.8~1.6>, how = "remove"`, // they don't come back
	`kind = "replace_core", x = <0.3~2.0>, how = "planned<? oldest>"`,
	`kind = "hup", share = <0.2~1.0>, gap_s = 1.0`,
}

const (
	targets = `<turn|leader|reader|seed|><? meet|? race|? race hard|? drain>`
	where   = `<all|near|split|both|behind|one_way|seeds|lure|relieve|>`
)

var control = []template{
	`kind = "core_cut", count = 1, for_s = <4~20>, how = "` + where + ` ` + targets + `< reset| refuse|||>"`,
	`kind = "core_cut", count = 1, for_s = <4~20>, how = "` + where + ` ` + targets + `"`,
	`kind = "core_cut", count = 1, for_s = <14~20>, how = "both hard"`,
	`kind = "node_kill", on = "core", count = 1, for_s = <0.5~6>, how = "` + targets + `<? power>"`,
	`kind = "herd_kill", share = <0.4~1.0>, for_s = <0.5~4>, how = "<|power|off|taken> <? race>", on = "core"`,
	`kind = "after_ack_wipe", for_s = <0.5~4>, how = "<|oldest>"`,
	`kind = "after_ack_kill", for_s = <0.5~4>, how = "<|kill|timed>"`,
	`kind = "replace_core", x = <0.3~3>, how = "<|oldest|planned>"`,
	`kind = "seed_turnover"`,
	`kind = "disk_full", count = 1, for_s = <2~8>`,
	`kind = "disk_stall", count = 1, for_s = <2~6>, how = "<|leader>"`,
	`kind = "disk_slow", count = 1, for_s = <3~10>, x = <5~40>`,
	`kind = "node_freeze", on = "core", count = 1, for_s = <0.5~8>, how = "` + targets + `"`,
	`kind = "node_slow", on = "core", count = 1, for_s = <2~8>, x = <3~8>`,
	`kind = "reset_conns", share = <0.1~0.6>, x = <0.3~1.0>`,
	`kind = "ack_lost", x = <0.3~0.9>, for_s = <3~15>`,
	`kind = "node_cut", share = <0.1~0.4>, for_s = <3~12>, how = "<|all|servers>"`,
	`kind = "clock_step", share = <0.2~0.7>, x = <500~6000>, for_s = <2~8>, how = "<back|ahead>"`,
}

var others = []template{
	`kind = "node_kill", share = <0.1~0.4>, for_s = <0.5~4>, how = "<|power>"`,
	`kind = "node_freeze", share = <0.1~0.3>, for_s = <0.5~4>`,
	`kind = "srv_crash", service = "<service>", share = <0.1~0.3>, for_s = <2~6>, how = "<|dark|gone>"`,
	`kind = "srv_cut", service = "<service>", share = <0.1~0.3>, for_s = <3~8>, how = "<|one_way|reset|some>"`,
	`kind = "srv_grey", service = "<service>", share = <0.1~0.3>, for_s = <3~8>, how = "<errors|shed|busy|hang|reset|mute|slow>"`,
	`kind = "replace_with_reuse", service = "<service>", share = <0.1~0.3>, how = "<|drain|dark>"`,
	`kind = "answer_lost", how = "<|reset>", share = <0.3~0.7>, x = <0.02~0.08>, for_s = <3~8>`,
	`kind = "garble", how = "<|extra|extra late|unframed|early>", share = <0.3~0.8>, x = <0.02~0.06>, for_s = <3~8>`,
	`kind = "retry_abuse", share = <0.1~0.5>, x = <2~4>, for_s = 6.0`,
	`kind = "give_up", share = <0.1~0.4>, x = <50~300>, for_s = 6.0`,
	`kind = "burst", x = <1.3~2.0>, for_s = <4~10>`,
	`kind = "kv_slow", share = 0.28, for_s = 5.0, service = "<service>"`,
	`kind = "handle_short", share = 0.3, for_s = 4.0, service = "<service>"`,
}

var closings = []template{
	`kind = "power_off_all", down_s = <0.3~2>`,
	`kind = "power_off_all", down_s = <0.3~2>, how = "<timed|taken>"`,
	`kind = "wipe_after_ack", down_s = <0.3~2>`,
	`kind = "wipe_after_ack", down_s = <0.3~2>, how = "<timed|taken|oldest>"`,
	`kind = "kill_all", down_s = <0.3~2>`,
	``,
}

// one fills one of the templates.
func (d *draw) one(from []template) string { return d.fill(from[d.random.IntN(len(from))]) }

// some fills between least and most of them, each with the time at which it begins.
func (d *draw) some(from []template, least, most int) []string {
	var entries []string
	for range least + d.random.IntN(most-least+1) {
		at := firstAt + d.random.Float64()*(lastAt-firstAt)
		entries = append(entries, fmt.Sprintf("at = %.2f, %s", at, d.one(from)))
	}
	return entries
}

// fill draws what a template leaves open.
func (d *draw) fill(from template) string {
	text := string(from)
	for {
		before, rest, found := strings.Cut(text, "<")
		if !found {
			return text
		}
		open, after, _ := strings.Cut(rest, ">")
		text = before + d.value(open) + after
	}
}

// value draws one value.
func (d *draw) value(open string) string {
	var low, high float64
	var first, last int
	if open == "service" {
		return d.services[d.random.IntN(len(d.services))]
	}
	if n, _ := fmt.Sscanf(open, "%g~%g", &low, &high); n == 2 {
		return fmt.Sprintf("%.2f", low+d.random.Float64()*(high-low))
	}
	if n, _ := fmt.Sscanf(open, "%d..%d", &first, &last); n == 2 {
		return fmt.Sprint(first + d.random.IntN(last-first+1))
	}
	choices := strings.Split(open, "|")
	choice := choices[d.random.IntN(len(choices))]
	if word, optional := strings.CutPrefix(choice, "?"); optional {
		if d.random.Float64() > likely {
			return ""
		}
		return word
	}
	return choice
}
