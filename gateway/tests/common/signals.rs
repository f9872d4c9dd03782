//! Signals to the processes of the tests, sent by the tests' own process: a program that sends one takes its time to start on
//! a busy machine, while the process that is to go on stands still.

use std::process::Child;

use rustix::process::{kill_process, Pid, Signal};

/// Sends a signal, by the name that `kill` knows.
pub fn send(child: &Child, name: &str) {
    let signal = match name {
        "-CONT" => Signal::CONT,
        "-HUP" => Signal::HUP,
        "-INT" => Signal::INT,
        "-KILL" => Signal::KILL,
        "-STOP" => Signal::STOP,
        "-TERM" => Signal::TERM,
        _ => panic!("{name} is not among the tests' signals"),
    };
    kill_process(Pid::from_child(child), signal).expect("a process");
}
