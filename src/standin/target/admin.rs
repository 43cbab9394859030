//! The administration interface of a stand-in target: faults, counts, executions and
//! load.

use poem::{
    Endpoint, EndpointExt, IntoEndpoint, Response, Route, get, handler, put,
    web::{Data, Json},
};

use super::{
    engine::{Event, Handle},
    fault::Faults,
    front::{json_or_error, read_load},
};

/// The routes of the administration interface.
pub fn routes(handle: Handle) -> impl IntoEndpoint<Endpoint = impl Endpoint + 'static> {
    Route::new()
        .at("/v1/faults", put(set_faults))
        .at("/v1/counts", get(read_counts))
        .at("/v1/executions", get(read_executions))
        .at("/v1/load", get(read_load))
        .data(handle)
}

#[handler]
async fn set_faults(Data(handle): Data<&Handle>, Json(faults): Json<Faults>) -> Response {
    json_or_error(handle.call(|reply| Event::SetFaults { faults, reply }).await)
}

#[handler]
async fn read_counts(Data(handle): Data<&Handle>) -> Response {
    json_or_error(handle.call(|reply| Event::Counts { reply }).await)
}

#[handler]
async fn read_executions(Data(handle): Data<&Handle>) -> Response {
    json_or_error(handle.call(|reply| Event::Executions { reply }).await)
}
